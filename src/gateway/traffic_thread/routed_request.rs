//! A caller's request with its route and deadline.

use std::sync;
use std::time;

use crate::gateway;
use crate::gateway::traffic_thread::held_memory;
use crate::ports;

/// Caller's request with its route and deadline.
pub struct RoutedRequest<'a> {
    /// Time until which the caller waits for the response.
    pub caller_deadline: tokio::time::Instant,
    /// Hash of the path and the body; `None` if the body is not buffered.
    pub fingerprint: Option<u64>,
    /// Head as received from the caller.
    pub head: http::request::Parts,
    /// Time by which the caller must have the response: its own deadline, or the
    /// route's if that is earlier.
    pub deadline: tokio::time::Instant,
    /// Digest of the key by which the caller identified itself; `None` if it sent none.
    pub key: Option<ports::KeyDigest>,
    /// Organisation that the request comes from; `None` if the configuration names none,
    /// or if the route is public and the key unknown.
    pub organisation: Option<&'a ports::Organisation>,
    /// Priority of the request: the organisation's, or else the route's. 0 is the
    /// highest.
    pub priority: u32,
    /// Memory that the request and its response take up.
    pub memory: sync::Arc<held_memory::RequestMemory>,
    /// Terms on which another entry VM relayed the request; `None` if it comes from a
    /// caller.
    pub relay: Option<gateway::RelayTerms>,
    /// Id of the request, sent by the caller.
    pub request_id: &'a str,
    /// Matching route.
    pub route: &'a ports::Route,
    /// Whether the request waits at this VM while no server has a free slot: where the
    /// configuration names organisations.
    pub may_wait: bool,
    /// Service that the route's traffic split selected for the request.
    pub service: &'a str,
    /// Share of the slots that the organisation gets, relative to the others.
    pub weight: u64,
}

impl RoutedRequest<'_> {
    /// Returns the fields of log lines that name the organisation and the priority of its
    /// request; empty if there is no organisation.
    #[must_use]
    pub fn organisation_fields(&self) -> String {
        let name = self.organisation.map(|organisation| &organisation.name);
        name.map_or_else(String::new, |name| {
            format!(
                "{} priority={}",
                organisation_field(Some(name)),
                self.priority
            )
        })
    }

    /// Returns the maximum number of servers that the request may reach.
    #[must_use]
    pub fn max_attempts(&self) -> u32 {
        let max_attempts = self.relay.map_or(u32::MAX, |terms| terms.max_attempts);
        self.route.max_attempts.min(max_attempts).max(1)
    }

    /// Reserves memory for the response. Returns whether there is room.
    pub async fn reserve_memory(&self, shared: &gateway::Shared) -> bool {
        self.memory.reserve(shared, self.route).await
    }

    /// Returns the time until the deadline.
    #[must_use]
    pub fn time_left(&self) -> time::Duration {
        self.deadline
            .saturating_duration_since(tokio::time::Instant::now())
    }

    /// Returns the time until the deadline, in whole milliseconds.
    #[must_use]
    pub fn time_left_ms(&self) -> u64 {
        u64::try_from(self.time_left().as_millis()).unwrap_or(u64::MAX)
    }
}

/// Returns the field of log lines that names an organisation; empty if there is none.
#[must_use]
pub fn organisation_field(name: Option<&str>) -> String {
    name.map_or_else(String::new, |name| format!(" organisation={name}"))
}
