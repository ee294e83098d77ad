//! One request on its way.

use std::time;

use crate::ports;

/// One request on its way to a backend server.
pub struct RoutedRequest<'a> {
    /// Hash of its path and body; nothing if the body was not read whole.
    pub fingerprint: Option<u64>,
    /// Its head, as it goes on.
    pub head: http::request::Parts,
    /// When the caller must have its answer.
    pub deadline: tokio::time::Instant,
    /// Its id, as the caller sent it.
    pub request_id: &'a str,
    /// Its route.
    pub route: &'a ports::Route,
    /// The service that it goes to.
    pub service: &'a str,
}

impl RoutedRequest<'_> {
    /// Gives the time that is left.
    #[must_use]
    pub fn time_left(&self) -> time::Duration {
        self.deadline
            .saturating_duration_since(tokio::time::Instant::now())
    }

    /// Gives the time that is left, in whole milliseconds.
    #[must_use]
    pub fn time_left_ms(&self) -> u64 {
        u64::try_from(self.time_left().as_millis()).unwrap_or(u64::MAX)
    }
}
