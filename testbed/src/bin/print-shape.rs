//! Prints the bundle of an operator's system, or the list of its servers.

use std::process;

use gumdrop::Options as _;
use testbed::shape;

fn main() -> process::ExitCode {
    let args = shape::Args::parse_args_default_or_exit();
    let Some(customer) = args.customer else {
        return process::ExitCode::FAILURE;
    };
    let shape = customer.shape();
    if args.servers {
        for server in shape.servers(args.scale, args.first_port) {
            println!(
                "{} {} {} {}",
                server.name, server.address, server.slot_count, server.mean_work_ms
            );
        }
        return process::ExitCode::SUCCESS;
    }
    match serde_saphyr::to_string(&shape.bundle(args.scale, args.first_port)) {
        Ok(yaml) => {
            print!("{yaml}");
            process::ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            process::ExitCode::FAILURE
        }
    }
}
