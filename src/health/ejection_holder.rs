//! Ejections that one entry VM holds.

use crate::health;
use crate::state_machine;

/// Time after which a request without a response counts as refused.
const RESPONSE_TIMEOUT_MS: u64 = 500;

/// Ejections of one service that one entry VM holds.
///
/// The validity of a grant counts from the time of the request on this VM's own
/// clock. A late response therefore results in a shorter ejection, or in none. The
/// traffic threads compare [`EjectionHolder::ejected_until_ms`] with the clock
/// for each request, so a paused control thread does not extend an ejection.
#[derive(Default)]
pub struct EjectionHolder {
    /// Time of the pending request for each server.
    requested_ms: indexmap::IndexMap<String, u64>,
    ejected_until_ms: indexmap::IndexMap<String, u64>,
}

impl EjectionHolder {
    /// Creates a holder without ejections.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the request to send to the decider and records when it was made.
    pub fn request(
        &mut self,
        now_ms: u64,
        evidence: health::Evidence,
        server_id: &str,
    ) -> health::EjectionRequest {
        self.requested_ms.insert(server_id.to_owned(), now_ms);
        health::EjectionRequest {
            requested_ms: now_ms,
            evidence,
            server_id: server_id.to_owned(),
        }
    }

    /// Returns the time until which the server receives no requests, or `None`
    /// if it is not ejected.
    #[must_use]
    pub fn ejected_until_ms(&self, server_id: &str) -> Option<u64> {
        self.ejected_until_ms.get(server_id).copied()
    }

    /// Returns the servers that are ejected at `now_ms`.
    pub fn ejected(&self, now_ms: u64) -> impl Iterator<Item = &str> {
        self.ejected_until_ms
            .iter()
            .filter(move |(_, until_ms)| **until_ms > now_ms)
            .map(|(server_id, _)| server_id.as_str())
    }

    /// Returns when the next [`health::HolderEvent::Tick`] is due; `None` if
    /// no timer is set.
    #[must_use]
    pub fn next_wakeup_ms(&self) -> Option<u64> {
        let timeouts_ms = self
            .requested_ms
            .values()
            .map(|requested_ms| requested_ms.saturating_add(RESPONSE_TIMEOUT_MS));
        let ends_ms = self.ejected_until_ms.values().copied();
        timeouts_ms.chain(ends_ms).min()
    }

    fn apply_response(
        &mut self,
        now_ms: u64,
        response: health::EjectionResponse,
    ) -> Vec<health::HolderAction> {
        match response {
            health::EjectionResponse::Granted {
                requested_ms,
                server_id,
                valid_ms,
            } => self.apply_grant(now_ms, requested_ms, server_id, valid_ms),
            health::EjectionResponse::Refused {
                retry_after_ms,
                server_id,
                ..
            } => self.apply_refusal(retry_after_ms, server_id),
        }
    }

    fn apply_grant(
        &mut self,
        now_ms: u64,
        requested_ms: u64,
        server_id: String,
        valid_ms: u64,
    ) -> Vec<health::HolderAction> {
        if self.requested_ms.get(&server_id) != Some(&requested_ms) {
            return Vec::new();
        }
        self.requested_ms.shift_remove(&server_id);
        let until_ms = requested_ms.saturating_add(valid_ms);
        if until_ms <= now_ms {
            return Vec::new();
        }
        self.ejected_until_ms.insert(server_id.clone(), until_ms);
        vec![health::HolderAction::Eject {
            server_id,
            until_ms,
        }]
    }

    fn apply_refusal(
        &mut self,
        retry_after_ms: u64,
        server_id: String,
    ) -> Vec<health::HolderAction> {
        if self.requested_ms.shift_remove(&server_id).is_none() {
            return Vec::new();
        }
        vec![health::HolderAction::Refused {
            retry_after_ms,
            server_id,
        }]
    }

    fn release(&mut self, server_id: &str) -> Vec<health::HolderAction> {
        self.requested_ms.shift_remove(server_id);
        self.ejected_until_ms
            .shift_remove(server_id)
            .map(|_| health::HolderAction::EjectionOver {
                server_id: server_id.to_owned(),
            })
            .into_iter()
            .collect()
    }

    /// Releases the newest ejections until this VM's ejections alone leave the
    /// floor in service.
    fn enforce_floor(
        &mut self,
        now_ms: u64,
        floor_servers: u32,
        servers: &[health::ServerState],
    ) -> Vec<health::HolderAction> {
        let capacity: indexmap::IndexSet<&str> = servers
            .iter()
            .filter(|server| server.is_capacity())
            .map(|server| server.server_id.as_str())
            .collect();
        let held: Vec<String> = self
            .ejected(now_ms)
            .filter(|server_id| capacity.contains(server_id))
            .map(str::to_owned)
            .collect();
        let floor = usize::try_from(floor_servers).unwrap_or(usize::MAX);
        let missing = (floor + held.len()).saturating_sub(capacity.len());
        held.iter()
            .rev()
            .take(missing)
            .flat_map(|server_id| self.release(server_id))
            .collect()
    }

    fn expire_ejections(&mut self, now_ms: u64) -> Vec<health::HolderAction> {
        let expired: Vec<String> = self
            .ejected_until_ms
            .iter()
            .filter(|(_, until_ms)| **until_ms <= now_ms)
            .map(|(server_id, _)| server_id.clone())
            .collect();
        let mut actions = Vec::new();
        for server_id in expired {
            self.ejected_until_ms.shift_remove(&server_id);
            actions.push(health::HolderAction::EjectionOver { server_id });
        }
        actions
    }

    fn expire_requests(&mut self, now_ms: u64) -> Vec<health::HolderAction> {
        let timed_out: Vec<String> = self
            .requested_ms
            .iter()
            .filter(|(_, requested_ms)| requested_ms.saturating_add(RESPONSE_TIMEOUT_MS) <= now_ms)
            .map(|(server_id, _)| server_id.clone())
            .collect();
        timed_out
            .into_iter()
            .flat_map(|server_id| self.apply_refusal(0, server_id))
            .collect()
    }
}

impl state_machine::StateMachine for EjectionHolder {
    type Action = health::HolderAction;
    type Event = health::HolderEvent;

    fn handle(&mut self, now_ms: u64, event: Self::Event) -> Vec<Self::Action> {
        let mut actions = self.expire_ejections(now_ms);
        actions.extend(match event {
            health::HolderEvent::Response(response) => self.apply_response(now_ms, response),
            health::HolderEvent::Recall { server_id }
            | health::HolderEvent::Release { server_id } => self.release(&server_id),
            health::HolderEvent::ServiceChanged {
                floor_servers,
                servers,
            } => self.enforce_floor(now_ms, floor_servers, &servers),
            health::HolderEvent::Tick => self.expire_requests(now_ms),
        });
        actions
    }
}
