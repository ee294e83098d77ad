//! Numbered log events and counters.

mod bounded_appender;
mod counters;
mod decision_log;
mod event;
mod logger;

pub use bounded_appender::BoundedAppender;
pub use counters::Counters;
pub use decision_log::DecisionLog;
pub use event::Event;
pub use logger::{start_bounded_logger, start_logger};
