//! Leases that permit one entry VM to decide on a service's ejections.

use crate::balancing;
use crate::claims;
use crate::config_fold;
use crate::configs;
use crate::health;

/// Number of leases that the services share. It is fixed so that the rate of
/// appends to the log does not grow with the number of services.
const LEASE_COUNT: u64 = 16;
/// Minimum time between two proposed records of one lease, in milliseconds.
const PROPOSAL_INTERVAL_MS: u64 = 1_000;

/// Lease as tracked by this entry VM.
pub struct EjectionLease {
    duration_ms: u64,
    held_until_ms: u64,
    last_record_ms: u64,
    name: String,
    last_proposal_ms: Option<u64>,
    tracker: health::LeaseTracker,
}

/// Returns the name of the lease that covers a service's ejections.
#[must_use]
pub fn lease_name(service: &str) -> String {
    let number = balancing::rendezvous::rank("ejections", service) % LEASE_COUNT;
    format!("ejections-{number}")
}

/// Returns the name of this process as the holder in lease records.
#[must_use]
pub fn holder_name(identity: claims::VmIdentity) -> String {
    format!("{}/{}", identity.peer_address, identity.incarnation)
}

/// Returns the peer address of a lease's holder, or `None` if the holder's name
/// is malformed.
#[must_use]
pub fn holder_address(holder: &str) -> Option<std::net::SocketAddr> {
    let (address, _) = holder.split_once('/')?;
    address.parse().ok()
}

impl EjectionLease {
    /// Creates the state of a lease. The time without a record counts from
    /// `now_ms`.
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

    /// Applies a record of this lease and returns the events for the deciders of
    /// the services that share it.
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

    /// Returns the record to append now if this VM should take or renew the
    /// lease. The first-ranked VM takes a lease that has not been renewed for
    /// its complete duration and renews its own lease after half of the
    /// duration.
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
