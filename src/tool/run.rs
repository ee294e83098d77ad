//! Parses the command line and runs the command.

use std::io;
use std::time;

use gumdrop::Options as _;

use crate::configs;
use crate::log_client;
use crate::tool;
use crate::tool::options;
use crate::tool::{
    bundle_check, bundle_diff, bundle_history, bundle_publish, bundle_roll_out, bundle_sign_off,
    bundle_status, fleet_status, rehearsal_list, rehearsal_report, rehearsal_schedule, tool_error,
};

/// Time between two status queries to the VMs, in milliseconds.
const POLL_INTERVAL_MS: u64 = 250;

/// Runs the tool over HTTP and returns its exit code. `args` are the arguments
/// after the program name. Prints results to standard output and errors to
/// standard error.
pub async fn main(args: &[String]) -> tool::ExitCode {
    match run_over_http(args).await {
        Ok(()) => tool::ExitCode::Ok,
        Err(error) => {
            eprintln!("foxtailwinch: {error}");
            error.exit_code()
        }
    }
}

async fn run_over_http(args: &[String]) -> Result<(), tool::ToolError> {
    let (options, args) = tool::GlobalOptions::extract(args)?;
    let config = configs::LogClientConfig::default();
    let to_usage_error = |error: log_client::BuildError| tool::ToolError::Usage {
        reason: error.to_string(),
    };
    let log = match options.log {
        Some(address) => {
            Some(log_client::HttpLogClient::new(address, config).map_err(to_usage_error)?)
        }
        None => None,
    };
    let http_client = log_client::HttpClient::new(config).map_err(to_usage_error)?;
    let status_client = tool::HttpStatusClient::new(http_client);
    let mut session = tool::Session {
        log: log.as_ref().map(|log| log as &dyn log_client::LogClient),
        options,
        out: &mut io::stdout(),
        poll_interval: time::Duration::from_millis(POLL_INTERVAL_MS),
        status_client: &status_client,
    };
    run(&args, &mut session).await
}

/// Runs the command in `args`, which no longer contain the options of
/// [`tool::GlobalOptions`].
///
/// # Errors
///
/// Returns the reason why the command failed, from which the exit code follows.
pub async fn run(args: &[String], session: &mut tool::Session<'_>) -> Result<(), tool::ToolError> {
    let parsed = options::Options::parse_args_default(args).or_else(|error| {
        let reason = format!("{error}; see foxtailwinch --help");
        tool_error::UsageSnafu { reason }.fail()
    })?;
    if parsed.help_requested() {
        let text = help(&parsed, args);
        let json = serde_json::Value::String(text.clone());
        session.print(&tool::CommandOutput { json, text });
        return Ok(());
    }
    match parsed.command {
        Some(options::Command::Bundle(bundle)) => run_bundle(bundle.command, session).await,
        Some(options::Command::Rehearsal(rehearsal)) => {
            run_rehearsal(rehearsal.command, session).await
        }
        Some(options::Command::Fleet(options::FleetOptions {
            command: Some(options::FleetCommand::Status(_)),
            ..
        })) => fleet_status::run(session).await,
        _ => no_command(),
    }
}

async fn run_bundle(
    command: Option<options::BundleCommand>,
    session: &mut tool::Session<'_>,
) -> Result<(), tool::ToolError> {
    use options::BundleCommand;
    match command {
        Some(BundleCommand::Check(options)) => bundle_check::run(&options, session),
        Some(BundleCommand::Diff(options)) => bundle_diff::run(&options, session).await,
        Some(BundleCommand::History(_)) => bundle_history::run(session).await,
        Some(BundleCommand::Publish(options)) => bundle_publish::run(&options, session).await,
        Some(BundleCommand::RollOut(options)) => bundle_roll_out::run(&options, session).await,
        Some(BundleCommand::SignOff(options)) => bundle_sign_off::run(&options, session).await,
        Some(BundleCommand::Status(_)) => bundle_status::run(session).await,
        None => no_command(),
    }
}

async fn run_rehearsal(
    command: Option<options::RehearsalCommand>,
    session: &mut tool::Session<'_>,
) -> Result<(), tool::ToolError> {
    use options::RehearsalCommand;
    match command {
        Some(RehearsalCommand::List(_)) => rehearsal_list::run(session).await,
        Some(RehearsalCommand::Report(options)) => rehearsal_report::run(&options, session).await,
        Some(RehearsalCommand::Schedule(options)) => {
            rehearsal_schedule::run(&options, session).await
        }
        None => no_command(),
    }
}

fn no_command<T>() -> Result<T, tool::ToolError> {
    let reason = "no command given; see foxtailwinch --help";
    tool_error::UsageSnafu { reason }.fail()
}

fn help(parsed: &options::Options, args: &[String]) -> String {
    let words = args.iter().take_while(|arg| !arg.starts_with('-'));
    let command: Vec<&str> = words.map(String::as_str).collect();
    let command = command.join(" ");
    let commands = parsed
        .self_command_list()
        .map_or_else(String::new, |commands| format!("\nCommands:\n{commands}\n"));
    let usage = parsed.self_usage();
    let shared = options::SHARED_HELP;
    format!("Usage: foxtailwinch {command} [ARGUMENTS]\n\n{usage}\n{commands}\n{shared}")
}
