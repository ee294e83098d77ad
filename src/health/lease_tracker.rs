//! Lease ownership, derived from the log's records in offset order.

use crate::configs;
use crate::health;

/// Tracks one lease through the log's records in offset order and derives the
/// decider's events from them.
pub struct LeaseTracker {
    proposal: Option<Proposal>,
    duration_ms: u64,
    holder: String,
    margin: health::ClockMargin,
    name: String,
    term: u64,
}

/// First time at which a record with `term` was sent to the log.
struct Proposal {
    first_sent_ms: u64,
    term: u64,
}

impl LeaseTracker {
    /// Creates a tracker for the lease `name`. `holder` identifies this process
    /// and its incarnation, so a restarted process is a different holder.
    #[must_use]
    pub fn new(config: &configs::health::HealthConfig, holder: &str, name: &str) -> Self {
        Self {
            proposal: None,
            duration_ms: config.lease_duration_ms,
            holder: holder.to_owned(),
            margin: health::ClockMargin::new(config.clock_rate_error_ppm),
            name: name.to_owned(),
            term: 0,
        }
    }

    /// Returns the name of this process in its lease records.
    #[must_use]
    pub fn holder(&self) -> &str {
        &self.holder
    }

    /// Returns the record to append now in order to take or renew the lease.
    ///
    /// An append whose reply was lost may have taken effect. The lease
    /// therefore counts from the first proposal of its term.
    pub fn propose(&mut self, now_ms: u64) -> health::LeaseRecord {
        let term = self.term + 1;
        if self
            .proposal
            .as_ref()
            .is_none_or(|proposal| proposal.term != term)
        {
            self.proposal = Some(Proposal {
                first_sent_ms: now_ms,
                term,
            });
        }
        health::LeaseRecord {
            duration_ms: self.duration_ms,
            holder: self.holder.clone(),
            name: self.name.clone(),
            term,
        }
    }

    /// Applies a record that was read at `now_ms` and returns the resulting
    /// events. A record of another lease yields no events.
    ///
    /// The decider also waits for the end of another process's void record, since a
    /// process that has read only the end of the log may treat it as valid. Safety
    /// therefore depends only on the order of the records; terms only decide who
    /// holds the lease next.
    pub fn apply(
        &mut self,
        now_ms: u64,
        record: &health::LeaseRecord,
    ) -> Vec<health::DeciderEvent> {
        if record.name != self.name {
            return Vec::new();
        }
        let is_newest = record.term > self.term;
        self.term = self.term.max(record.term);
        if record.holder == self.holder {
            return if is_newest {
                self.lease_held_events(record)
            } else {
                Vec::new()
            };
        }
        let wait_ms = self.margin.lengthen(record.duration_ms);
        let mut events = vec![health::DeciderEvent::PreviousLeaseEnds {
            at_ms: now_ms.saturating_add(wait_ms),
        }];
        if is_newest {
            events.push(health::DeciderEvent::LeaseLost);
        }
        events
    }

    fn lease_held_events(&self, record: &health::LeaseRecord) -> Vec<health::DeciderEvent> {
        let Some(proposal) = &self.proposal else {
            return Vec::new();
        };
        if proposal.term != record.term {
            return Vec::new();
        }
        let held_ms = self.margin.shorten(record.duration_ms);
        vec![health::DeciderEvent::LeaseHeld {
            term: record.term,
            until_ms: proposal.first_sent_ms.saturating_add(held_ms),
        }]
    }
}
