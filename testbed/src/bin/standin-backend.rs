//! Stand-in backend server.

use std::{error, process, sync};

use foxtailwinch::context;
use gumdrop::Options as _;
use testbed::{backend, http_io};

#[tokio::main]
async fn main() -> process::ExitCode {
    let args = backend::Args::parse_args_default_or_exit();
    match run(&args).await {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            process::ExitCode::FAILURE
        }
    }
}

async fn run(args: &backend::Args) -> Result<(), Box<dyn error::Error>> {
    let Some(address) = args.listen else {
        return Ok(());
    };
    let clock = sync::Arc::new(context::SystemClock::new());
    let server = backend::BackendServer::new(clock, args.settings()?)?;
    let service = backend::BackendService::new(sync::Arc::new(server));
    let listener = http_io::bind(address)?;
    http_io::print_address(&listener);
    http_io::serve(listener, move |request| service.clone().handle(request)).await?;
    Ok(())
}
