//! Measures the time that entry VMs add to requests.

use std::{error, process, time};

use gumdrop::Options as _;
use testbed::measure;

/// Exit code if a request did not get its own response.
const EXIT_FAILED_REQUEST: u8 = 3;

#[tokio::main(worker_threads = 2)]
async fn main() -> process::ExitCode {
    let args = measure::LatencyArgs::parse_args_default_or_exit();
    match run(args).await {
        Ok(exit_code) => exit_code,
        Err(error) => {
            eprintln!("{error}");
            process::ExitCode::FAILURE
        }
    }
}

async fn run(args: measure::LatencyArgs) -> Result<process::ExitCode, Box<dyn error::Error>> {
    let unix_ns = time::SystemTime::now().duration_since(time::UNIX_EPOCH)?;
    let run_id = format!("{:x}-{:x}", unix_ns.as_nanos(), process::id());
    let figures = measure::LatencyRun::new(args.settings()?, run_id)?
        .run()
        .await?;
    println!("{}", figures.to_csv());
    println!("{figures}");
    if figures.failed_requests() > 0 {
        return Ok(process::ExitCode::from(EXIT_FAILED_REQUEST));
    }
    Ok(process::ExitCode::SUCCESS)
}
