//! Log output. VMs have no disks, so the log goes to standard output.

use log4rs::append::console;
use log4rs::config;
use log4rs::encode::pattern;

use crate::telemetry;

/// Time, level, then the event's number and message.
const LINE_PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l} {m}{n}";

/// Starts logging to standard output. Gives `false` when logging has been
/// started before.
#[must_use]
pub fn start_logger(level: log::LevelFilter) -> bool {
    let encoder = pattern::PatternEncoder::new(LINE_PATTERN);
    let console = console::ConsoleAppender::builder()
        .encoder(Box::new(encoder))
        .build();
    let appender = config::Appender::builder().build("stdout", Box::new(console));
    start(appender, level)
}

/// Starts logging to standard output without ever blocking those who log:
/// lines that cannot be written in time are dropped. Gives `false` when
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
    // The library logs each call at level `info`.
    let rpc_logger = config::Logger::builder().build("tarpc", log::LevelFilter::Warn);
    let config = config::Config::builder()
        .appender(appender)
        .logger(rpc_logger)
        .build(root);
    config.is_ok_and(|config| log4rs::init_config(config).is_ok())
}
