//! Log output. Entry VMs have no disks, so the log is written to standard
//! output.

use log4rs::append::console;
use log4rs::config;
use log4rs::encode::pattern;

use crate::telemetry;

/// Format of a log line: time, level, then the event's number and message.
const LINE_PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l} {m}{n}";

/// Starts logging to standard output. Returns `false` if a logger is already
/// running.
#[must_use]
pub fn start_logger(level: log::LevelFilter) -> bool {
    let encoder = pattern::PatternEncoder::new(LINE_PATTERN);
    let console = console::ConsoleAppender::builder()
        .encoder(Box::new(encoder))
        .build();
    let appender = config::Appender::builder().build("stdout", Box::new(console));
    start(appender, level)
}

/// Starts logging to standard output without ever blocking the threads that
/// log: lines that cannot be written in time are dropped. Returns `false` if
/// logging cannot be started.
#[must_use]
pub fn start_bounded_logger(level: log::LevelFilter) -> bool {
    let encoder = Box::new(pattern::PatternEncoder::new(LINE_PATTERN));
    let Ok(bounded) = telemetry::BoundedAppender::start(encoder) else {
        return false;
    };
    let appender = config::Appender::builder().build("stdout", Box::new(bounded));
    start(appender, level)
}

fn start(appender: config::Appender, level: log::LevelFilter) -> bool {
    let root = config::Root::builder().appender("stdout").build(level);
    // tarpc logs each call at level `info`.
    let rpc_logger = config::Logger::builder().build("tarpc", log::LevelFilter::Warn);
    let config = config::Config::builder()
        .appender(appender)
        .logger(rpc_logger)
        .build(root);
    config.is_ok_and(|config| log4rs::init_config(config).is_ok())
}
