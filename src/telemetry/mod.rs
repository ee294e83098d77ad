//! Numbered log events and counters.

mod bounded_appender;
mod counters;
mod event;
mod journal;
mod logger;

pub use bounded_appender::BoundedAppender;
pub use counters::Counters;
pub use event::Event;
pub use journal::Journal;
pub use logger::{start_bounded_logger, start_logger};
