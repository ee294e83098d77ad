//! The leases that let one entry VM decide on a service's ejections.

use crate::balancing;
use crate::claims;
use crate::config_fold;
use crate::configs;
use crate::health;

/// Leases that the services share. Fixed, so that the appends to the log do
/// not grow with the number of services.
const LEASE_COUNT: u64 = 16;
/// Time between two records for one lease, in milliseconds.
const PROPOSAL_INTERVAL_MS: u64 = 1_000;

/// One lease as this entry VM follows it.
pub struct EjectionLease {
    duration_ms: u64,
    held_until_ms: u64,
    last_record_ms: u64,
    name: String,
    last_proposal_ms: Option<u64>,
    tracker: health::LeaseTracker,
}

/// Gives the name of the lease that a service's ejections need.
#[must_use]
pub fn lease_name(service: &str) -> String {
    let number = balancing::rendezvous::rank("ejections", service) % LEASE_COUNT;
    format!("ejections-{number}")
}

/// Gives this process's name in lease records.
#[must_use]
pub fn holder_name(identity: claims::VmIdentity) -> String {
    format!("{}/{}", identity.peer_address, identity.incarnation)
}

/// Gives the peer address of a lease's holder, if its name is well formed.
#[must_use]
pub fn holder_address(holder: &str) -> Option<std::net::SocketAddr> {
    let (address, _) = holder.split_once('/')?;
    address.parse().ok()
}

impl EjectionLease {
    /// Gives a lease of which no record has been read since `now_ms`.
    #[must_use]
    pub fn new(config: &configs::HealthConfig, holder: &str, name: &str, now_ms: u64) -> Self {
        Self {
            duration_ms: config.lease_duration_ms,
            held_until_ms: 0,
            last_record_ms: now_ms,
            name: name.to_owned(),
            last_proposal_ms: None,
            tracker: health::LeaseTracker::new(config, holder, name),
        }
    }

    /// Folds a record of this lease and gives what the deciders learn.
    pub fn apply_record(
        &mut self,
        now_ms: u64,
        record: &health::LeaseRecord,
    ) -> Vec<health::DeciderEvent> {
        self.last_record_ms = now_ms;
        let events = self.tracker.apply(now_ms, record);
        for event in &events {
            match event {
                health::DeciderEvent::LeaseHeld { until_ms, .. } => {
                    self.held_until_ms = *until_ms;
                }
                health::DeciderEvent::LeaseLost => self.held_until_ms = 0,
                _ => {}
            }
        }
        events
    }

    /// Gives the record to append now, if this VM is to take or renew the
    /// lease: the first-ranked VM takes a lease that nobody has renewed for its
    /// whole duration, and renews its own at half of it.
    pub fn propose(
        &mut self,
        now_ms: u64,
        is_first_ranked: bool,
    ) -> Option<config_fold::RecordBody> {
        let is_held = self.held_until_ms > now_ms;
        let is_due = if is_held {
            self.held_until_ms.saturating_sub(now_ms) < self.duration_ms / 2
        } else {
            now_ms.saturating_sub(self.last_record_ms) >= self.duration_ms
        };
        let has_waited = self
            .last_proposal_ms
            .is_none_or(|last_proposal_ms| now_ms >= last_proposal_ms + PROPOSAL_INTERVAL_MS);
        if !is_first_ranked || !is_due || !has_waited {
            return None;
        }
        self.last_proposal_ms = Some(now_ms);
        let record = self.tracker.propose(now_ms);
        Some(config_fold::RecordBody::LeaseTaken {
            duration_ms: record.duration_ms,
            holder: record.holder,
            name: self.name.clone(),
            term: record.term,
        })
    }
}
