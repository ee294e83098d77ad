//! Checks the histories of callers against the run logs of backend servers.

use std::{error, process};

use gumdrop::Options as _;
use testbed::{history, http_io};
use volo_http::client;

/// Exit code if a history or a run log cannot be read.
const EXIT_UNREADABLE: u8 = 2;

/// Largest list of runs read from a server, in bytes.
const MAX_RUNS_BYTES: usize = 1_073_741_824;

#[tokio::main]
async fn main() -> process::ExitCode {
    let args = history::Args::parse_args_default_or_exit();
    match load(&args).await {
        Ok(check) => report(&check),
        Err(error) => {
            eprintln!("{error}");
            process::ExitCode::from(EXIT_UNREADABLE)
        }
    }
}

async fn load(args: &history::Args) -> Result<history::HistoryCheck, Box<dyn error::Error>> {
    let mut check = history::HistoryCheck::new(args.allow_missing_runs);
    for path in &args.history {
        check.add_attempts(history::load_attempts(path)?);
    }
    for path in &args.run_log {
        check.add_runs(history::load_run_log(path)?);
    }
    let client = client::ClientBuilder::new().build()?;
    for url in &args.runs {
        check.add_runs(fetch_runs(&client, url).await?);
    }
    Ok(check)
}

async fn fetch_runs(
    client: &client::Client,
    url: &str,
) -> Result<Vec<testbed::backend::RunRecord>, Box<dyn error::Error>> {
    let response = client.get(url.to_owned()).send().await?;
    let body = http_io::read_body(response.into_body(), MAX_RUNS_BYTES)
        .await
        .ok_or_else(|| format!("{url}: response truncated or over {MAX_RUNS_BYTES} bytes"))?;
    Ok(history::parse_runs(url, &body)?)
}

fn report(check: &history::HistoryCheck) -> process::ExitCode {
    let violations = check.violations();
    for violation in &violations {
        println!("{violation}");
    }
    let summary = check.summary();
    println!(
        "{} violations in {} attempts ({} answered, {} not run) and {} runs of {} keys",
        violations.len(),
        summary.attempts,
        summary.answered_attempts,
        summary.not_run_attempts,
        summary.runs,
        summary.keys_run
    );
    if violations.is_empty() {
        process::ExitCode::SUCCESS
    } else {
        process::ExitCode::FAILURE
    }
}
