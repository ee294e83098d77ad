//! Stand-in caller.

use std::{error, process};

use gumdrop::Options as _;
use testbed::caller;

/// Exit code if a response did not belong to its request.
const EXIT_WRONG_RESPONSE: u8 = 3;

#[tokio::main]
async fn main() -> process::ExitCode {
    let args = caller::Args::parse_args_default_or_exit();
    match run(&args).await {
        Ok(exit_code) => exit_code,
        Err(error) => {
            eprintln!("{error}");
            process::ExitCode::FAILURE
        }
    }
}

async fn run(args: &caller::Args) -> Result<process::ExitCode, Box<dyn error::Error>> {
    let report = caller::CallerRun::new(args.settings()?)?.run().await;
    match args.output {
        caller::OutputFormat::Json => println!("{}", report.to_json()),
        caller::OutputFormat::Text => println!("{report}"),
    }
    if report.wrong_answers > 0 {
        return Ok(process::ExitCode::from(EXIT_WRONG_RESPONSE));
    }
    Ok(process::ExitCode::SUCCESS)
}
