//! Stand-in platform with a log service and a VM list.

use std::{process, sync};

use foxtailwinch::context;
use gumdrop::Options as _;
use testbed::{http_io, platform};

#[tokio::main]
async fn main() -> process::ExitCode {
    let args = platform::Args::parse_args_default_or_exit();
    match run(&args).await {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            process::ExitCode::FAILURE
        }
    }
}

async fn run(args: &platform::Args) -> Result<(), http_io::ServeError> {
    let Some(address) = args.listen else {
        return Ok(());
    };
    let listener = http_io::bind(address)?;
    let service = platform::PlatformService::new(
        sync::Arc::new(context::SystemClock::new()),
        args.retention_ms,
        args.vm_list_lag_ms,
    );
    http_io::print_address(&listener);
    http_io::serve(listener, move |request| service.clone().handle(request)).await
}
