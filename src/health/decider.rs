//! Grants ejections so that the floor holds across all entry VMs.

use std::net;

use crate::configs;
use crate::health;
use crate::state_machine;

/// Interval between appends of a lease record that has not been read back yet.
const RENEWAL_RETRY_MS: u64 = 1_000;
/// Time for which a server counts as suspected after an ejection request.
const SUSPICION_MS: u64 = 2_000;

/// Decides on the ejections of one service while it holds the service's lease.
///
/// Each grant ends, on every clock, before the lease does. A server is granted
/// only if the floor stays in service, counting every grant that an entry VM
/// may still hold. A new decider grants nothing until the previous decider's
/// lease has ended.
pub struct Decider {
    /// Time of the latest ejection request for each server.
    requested_ms: indexmap::IndexMap<String, u64>,
    config: configs::health::HealthConfig,
    floor_servers: usize,
    grants: health::grant_table::GrantTable,
    lease: Option<Lease>,
    margin: health::ClockMargin,
    /// Time at which the last lease of another process ends at the latest; `None`
    /// before the first event.
    previous_lease_ends_ms: Option<u64>,
    /// Time of the last append of a renewal that has not been read back yet; `None`
    /// if there is none.
    renewal_sent_ms: Option<u64>,
    servers: indexmap::IndexMap<String, health::ServerState>,
    states_requested_ms: Option<u64>,
}

struct Lease {
    term: u64,
    until_ms: u64,
}

impl Decider {
    /// Creates a decider that holds no lease and knows no servers.
    #[must_use]
    pub fn new(config: &configs::health::HealthConfig) -> Self {
        Self {
            requested_ms: indexmap::IndexMap::new(),
            config: config.clone(),
            floor_servers: 0,
            grants: health::grant_table::GrantTable::default(),
            lease: None,
            margin: health::ClockMargin::new(config.clock_rate_error_ppm),
            previous_lease_ends_ms: None,
            renewal_sent_ms: None,
            servers: indexmap::IndexMap::new(),
            states_requested_ms: None,
        }
    }

    /// Returns whether this decider may grant ejections at `now_ms`.
    #[must_use]
    pub fn is_active(&self, now_ms: u64) -> bool {
        self.lease_refusal(now_ms).is_none()
    }

    /// Returns when the next [`health::DeciderEvent::Tick`] is due; `None` if
    /// no timer is set.
    #[must_use]
    pub fn next_wakeup_ms(&self) -> Option<u64> {
        let renewal_ms = self.lease.as_ref().map(|lease| self.renewal_due_ms(lease));
        renewal_ms
            .into_iter()
            .chain(self.grants.next_end_ms())
            .min()
    }

    fn decide(
        &mut self,
        now_ms: u64,
        request: &health::EjectionRequest,
    ) -> health::EjectionResponse {
        self.record_suspicion(now_ms, &request.server_id);
        match self.refusal_reason(now_ms, &request.server_id) {
            Some(reason) => self.refuse(now_ms, &request.server_id, reason),
            None => self.grant(now_ms, request),
        }
    }

    fn record_suspicion(&mut self, now_ms: u64, server_id: &str) {
        self.requested_ms
            .retain(|_, requested_ms| requested_ms.saturating_add(SUSPICION_MS) > now_ms);
        if self.servers.contains_key(server_id) {
            self.requested_ms.insert(server_id.to_owned(), now_ms);
        }
    }

    /// Returns the reason to refuse the ejection, or `None` to grant it.
    fn refusal_reason(&self, now_ms: u64, server_id: &str) -> Option<health::EjectionRefusal> {
        if let Some(refusal) = self.lease_refusal(now_ms) {
            return Some(refusal);
        }
        if !self.has_fresh_states(now_ms) {
            return Some(health::EjectionRefusal::StaleView);
        }
        if !self.servers.contains_key(server_id) {
            return Some(health::EjectionRefusal::UnknownServer);
        }
        if self.is_majority_suspected() {
            return Some(health::EjectionRefusal::MajoritySuspected);
        }
        let capacity = self.grants.capacity_without(&self.servers, Some(server_id));
        (capacity < self.floor_servers).then_some(health::EjectionRefusal::Floor)
    }

    fn lease_refusal(&self, now_ms: u64) -> Option<health::EjectionRefusal> {
        if self.lease_left_ms(now_ms) == 0 {
            return Some(health::EjectionRefusal::NoLease);
        }
        let has_waited = self
            .previous_lease_ends_ms
            .is_some_and(|ends_ms| ends_ms <= now_ms);
        (!has_waited).then_some(health::EjectionRefusal::PreviousLease)
    }

    /// Returns the longest time, on any clock, that a grant may last.
    /// Returns 0 without a lease.
    fn lease_left_ms(&self, now_ms: u64) -> u64 {
        let until_ms = self.lease.as_ref().map_or(0, |lease| lease.until_ms);
        self.margin.shorten(until_ms.saturating_sub(now_ms))
    }

    fn has_fresh_states(&self, now_ms: u64) -> bool {
        self.states_requested_ms.is_some_and(|requested_ms| {
            now_ms.saturating_sub(requested_ms) <= self.config.state_max_age_ms
        })
    }

    /// Returns whether most of the service's servers, and at least two, are
    /// suspected or ejected.
    fn is_majority_suspected(&self) -> bool {
        let suspected = self
            .servers
            .keys()
            .filter(|server_id| {
                self.requested_ms.contains_key(*server_id) || self.grants.contains(server_id)
            })
            .count();
        suspected > 1 && suspected * 2 > self.servers.len()
    }

    fn refuse(
        &self,
        now_ms: u64,
        server_id: &str,
        reason: health::EjectionRefusal,
    ) -> health::EjectionResponse {
        let waits_for_lease = reason == health::EjectionRefusal::PreviousLease;
        let wait_ms = self
            .previous_lease_ends_ms
            .filter(|_| waits_for_lease)
            .map(|ends_ms| ends_ms.saturating_sub(now_ms));
        health::EjectionResponse::Refused {
            reason,
            retry_after_ms: wait_ms.unwrap_or(self.config.grant_max_ms / 2),
            server_id: server_id.to_owned(),
        }
    }

    fn grant(
        &mut self,
        now_ms: u64,
        request: &health::EjectionRequest,
    ) -> health::EjectionResponse {
        let valid_ms = self.lease_left_ms(now_ms).min(self.config.grant_max_ms);
        let ends_ms = now_ms.saturating_add(self.margin.lengthen(valid_ms));
        self.grants.insert(&request.server_id, ends_ms);
        self.assert_floor();
        health::EjectionResponse::Granted {
            requested_ms: request.requested_ms,
            server_id: request.server_id.clone(),
            valid_ms,
        }
    }

    /// Asserts that the grants leave the floor in service.
    fn assert_floor(&self) {
        let capacity = self.grants.capacity_without(&self.servers, None);
        assert!(
            capacity >= self.floor_servers,
            "a grant leaves {capacity} servers, fewer than the floor of {}",
            self.floor_servers
        );
    }

    fn apply_service(
        &mut self,
        states_requested_ms: u64,
        floor_servers: u32,
        servers: Vec<health::ServerState>,
    ) -> Vec<health::DeciderAction> {
        self.floor_servers = usize::try_from(floor_servers).unwrap_or(usize::MAX);
        self.servers = servers
            .into_iter()
            .map(|server| (server.server_id.clone(), server))
            .collect();
        self.states_requested_ms = Some(states_requested_ms);
        self.recall_excess()
    }

    /// Recalls as many ejections as servers are missing for the floor. The recalled
    /// ejections count as held until they expire, since a recall may be lost.
    fn recall_excess(&self) -> Vec<health::DeciderAction> {
        let capacity = self.grants.capacity_without(&self.servers, None);
        let missing = self.floor_servers.saturating_sub(capacity);
        self.grants
            .newest_first()
            .filter(|server_id| {
                let server = self.servers.get(*server_id);
                server.is_some_and(health::ServerState::is_capacity)
            })
            .take(missing)
            .map(|server_id| health::DeciderAction::Recall {
                server_id: server_id.to_owned(),
            })
            .collect()
    }

    fn record_lease(&mut self, term: u64, until_ms: u64) {
        if self.lease.as_ref().is_none_or(|lease| lease.term < term) {
            self.lease = Some(Lease { term, until_ms });
            self.renewal_sent_ms = None;
        }
    }

    fn renewal_due_ms(&self, lease: &Lease) -> u64 {
        let half_ms = self.config.lease_duration_ms / 2;
        let due_ms = lease.until_ms.saturating_sub(half_ms);
        let retry_ms = self
            .renewal_sent_ms
            .map_or(0, |sent_ms| sent_ms.saturating_add(RENEWAL_RETRY_MS));
        due_ms.max(retry_ms)
    }

    fn renew_lease(&mut self, now_ms: u64) -> Vec<health::DeciderAction> {
        let Some(lease) = &self.lease else {
            return Vec::new();
        };
        if now_ms < self.renewal_due_ms(lease) {
            return Vec::new();
        }
        let term = lease.term + 1;
        self.renewal_sent_ms = Some(now_ms);
        vec![health::DeciderAction::RenewLease { term }]
    }

    /// Starts the wait for a previous lease at the first event. A process that
    /// has just started may not have read the record of a lease before its own,
    /// so it waits as if there were one.
    fn ensure_startup_wait(&mut self, now_ms: u64) {
        let wait_ms = self.margin.lengthen(self.config.lease_duration_ms);
        self.previous_lease_ends_ms
            .get_or_insert(now_ms.saturating_add(wait_ms));
    }

    fn extend_wait(&mut self, at_ms: u64) {
        self.previous_lease_ends_ms = self.previous_lease_ends_ms.max(Some(at_ms));
    }

    fn respond(
        &mut self,
        now_ms: u64,
        request: &health::EjectionRequest,
        from: net::SocketAddr,
        message_id: u64,
    ) -> Vec<health::DeciderAction> {
        vec![health::DeciderAction::Respond {
            response: self.decide(now_ms, request),
            message_id,
            to: from,
        }]
    }
}

impl state_machine::StateMachine for Decider {
    type Action = health::DeciderAction;
    type Event = health::DeciderEvent;

    fn handle(&mut self, now_ms: u64, event: Self::Event) -> Vec<Self::Action> {
        self.ensure_startup_wait(now_ms);
        self.grants.expire(now_ms);
        match event {
            health::DeciderEvent::Request {
                request,
                from,
                message_id,
            } => return self.respond(now_ms, &request, from, message_id),
            health::DeciderEvent::LeaseHeld { term, until_ms } => self.record_lease(term, until_ms),
            health::DeciderEvent::LeaseLost => self.lease = None,
            health::DeciderEvent::PreviousLeaseEnds { at_ms } => {
                self.extend_wait(at_ms);
            }
            health::DeciderEvent::ServiceChanged {
                floor_servers,
                servers,
                states_requested_ms,
            } => return self.apply_service(states_requested_ms, floor_servers, servers),
            health::DeciderEvent::Tick => return self.renew_lease(now_ms),
        }
        Vec::new()
    }
}
