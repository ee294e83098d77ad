//! Quarantine of requests that crash the servers that run them.

use crate::configs;
use crate::health;
use crate::state_machine;

/// Number of distinct servers whose crashes quarantine a request.
const CRASHES_TO_QUARANTINE: usize = 2;

/// Refuses requests that crash the servers that run them.
///
/// A request is quarantined once two distinct servers have crashed while they
/// ran it, if the second attempt was sent after the first crash. A response to
/// a request with the same fingerprint clears a suspect that is not quarantined
/// yet. The first crash is reported to the other entry VMs too, so at most two
/// servers crash across all entry VMs, apart from attempts sent while the
/// report is on its way.
pub struct Quarantine {
    capacity_count: usize,
    retention_ms: u64,
    suspects: indexmap::IndexMap<u64, Suspect>,
}

/// Crashes of servers that ran requests with one fingerprint.
struct Suspect {
    last_crash_ms: u64,
    server_ids: indexmap::IndexSet<String>,
}

impl Suspect {
    fn is_quarantined(&self) -> bool {
        self.server_ids.len() >= CRASHES_TO_QUARANTINE
    }
}

impl Quarantine {
    /// Creates a quarantine without suspects.
    #[must_use]
    pub fn new(config: &configs::health::HealthConfig) -> Self {
        Self {
            capacity_count: config.quarantine_capacity_count.max(1),
            retention_ms: config.quarantine_retention_ms,
            suspects: indexmap::IndexMap::new(),
        }
    }

    /// Returns whether requests with this fingerprint are refused.
    #[must_use]
    pub fn is_quarantined(&self, now_ms: u64, fingerprint: u64) -> bool {
        self.suspects
            .get(&fingerprint)
            .is_some_and(|suspect| suspect.is_quarantined() && !self.is_expired(now_ms, suspect))
    }

    /// Returns whether a server crashed while running a request with this
    /// fingerprint. A response to such a request is to be reported with
    /// [`health::QuarantineEvent::Answered`].
    #[must_use]
    pub fn is_suspect(&self, fingerprint: u64) -> bool {
        self.suspects.contains_key(&fingerprint)
    }

    /// Returns the number of suspect and quarantined fingerprints.
    #[must_use]
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns `true` if there are no suspects.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    fn is_expired(&self, now_ms: u64, suspect: &Suspect) -> bool {
        now_ms.saturating_sub(suspect.last_crash_ms) >= self.retention_ms
    }

    /// Records a crash that this VM observed.
    ///
    /// Ignores the crash if the attempt was sent before the last crash, because
    /// servers that crash together have many requests in flight. Also ignores a
    /// further crash of the same server.
    fn record_crash(
        &mut self,
        now_ms: u64,
        fingerprint: u64,
        ran_ms: u64,
        server_id: String,
    ) -> Vec<health::QuarantineAction> {
        let sent_ms = now_ms.saturating_sub(ran_ms);
        let suspect = self.suspect_entry(now_ms, fingerprint);
        let was_sent_before = !suspect.server_ids.is_empty() && sent_ms < suspect.last_crash_ms;
        if was_sent_before || suspect.server_ids.contains(&server_id) {
            return Vec::new();
        }
        let was_quarantined = suspect.is_quarantined();
        suspect.last_crash_ms = now_ms;
        suspect.server_ids.insert(server_id);
        let mut actions = self.invalidate_evidence(fingerprint, was_quarantined);
        actions.extend(self.summary_action(now_ms, fingerprint));
        actions
    }

    /// Applies the crashes that another entry VM reports.
    fn apply_summary(
        &mut self,
        now_ms: u64,
        summary: health::QuarantineSummary,
    ) -> Vec<health::QuarantineAction> {
        if summary.age_ms >= self.retention_ms || summary.server_ids.is_empty() {
            return Vec::new();
        }
        let last_crash_ms = now_ms.saturating_sub(summary.age_ms);
        let suspect = self.suspect_entry(now_ms, summary.fingerprint);
        let was_quarantined = suspect.is_quarantined();
        let is_new = suspect.server_ids.is_empty();
        suspect.last_crash_ms = if is_new {
            last_crash_ms
        } else {
            suspect.last_crash_ms.max(last_crash_ms)
        };
        let new_ids = summary.server_ids.into_iter().take(CRASHES_TO_QUARANTINE);
        suspect.server_ids.extend(new_ids);
        self.invalidate_evidence(summary.fingerprint, was_quarantined)
    }

    /// Returns the entry of the fingerprint, which is created if it does not
    /// exist.
    fn suspect_entry(&mut self, now_ms: u64, fingerprint: u64) -> &mut Suspect {
        if !self.suspects.contains_key(&fingerprint) {
            self.evict_if_full();
        }
        self.suspects.entry(fingerprint).or_insert_with(|| Suspect {
            last_crash_ms: now_ms,
            server_ids: indexmap::IndexSet::new(),
        })
    }

    /// Removes the oldest fingerprint if the capacity is reached. Fingerprints
    /// that are not quarantined are removed first.
    fn evict_if_full(&mut self) {
        if self.suspects.len() < self.capacity_count {
            return;
        }
        let oldest = self
            .suspects
            .iter()
            .min_by_key(|(_, suspect)| (suspect.is_quarantined(), suspect.last_crash_ms))
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(fingerprint) = oldest {
            self.suspects.swap_remove(&fingerprint);
        }
    }

    /// Returns the action that invalidates the evidence against the crashed
    /// servers, if the fingerprint has just become quarantined.
    fn invalidate_evidence(
        &self,
        fingerprint: u64,
        was_quarantined: bool,
    ) -> Vec<health::QuarantineAction> {
        let suspect = &self.suspects[&fingerprint];
        if was_quarantined || !suspect.is_quarantined() {
            return Vec::new();
        }
        vec![health::QuarantineAction::InvalidateEvidence {
            fingerprint,
            server_ids: suspect.server_ids.iter().cloned().collect(),
        }]
    }

    /// Returns the action that reports the crashes to the other entry VMs.
    fn summary_action(&self, now_ms: u64, fingerprint: u64) -> Option<health::QuarantineAction> {
        let suspect = self.suspects.get(&fingerprint)?;
        Some(health::QuarantineAction::SendSummary {
            summary: health::QuarantineSummary {
                age_ms: now_ms.saturating_sub(suspect.last_crash_ms),
                fingerprint,
                server_ids: suspect
                    .server_ids
                    .iter()
                    .take(CRASHES_TO_QUARANTINE)
                    .cloned()
                    .collect(),
            },
        })
    }

    /// Removes a fingerprint that is not quarantined.
    fn clear_suspect(&mut self, fingerprint: u64) {
        let is_quarantined = self
            .suspects
            .get(&fingerprint)
            .is_some_and(Suspect::is_quarantined);
        if !is_quarantined {
            self.suspects.swap_remove(&fingerprint);
        }
    }

    /// Removes the fingerprints whose last crash is older than the retention
    /// time.
    fn expire(&mut self, now_ms: u64) {
        let retention_ms = self.retention_ms;
        self.suspects
            .retain(|_, suspect| now_ms.saturating_sub(suspect.last_crash_ms) < retention_ms);
    }
}

impl state_machine::StateMachine for Quarantine {
    type Action = health::QuarantineAction;
    type Event = health::QuarantineEvent;

    fn handle(&mut self, now_ms: u64, event: Self::Event) -> Vec<Self::Action> {
        match event {
            health::QuarantineEvent::Answered { fingerprint } => self.clear_suspect(fingerprint),
            health::QuarantineEvent::PeerSummary(summary) => {
                return self.apply_summary(now_ms, summary);
            }
            health::QuarantineEvent::ServerCrashed {
                fingerprint,
                ran_ms,
                server_id,
            } => return self.record_crash(now_ms, fingerprint, ran_ms, server_id),
            health::QuarantineEvent::Tick => self.expire(now_ms),
        }
        Vec::new()
    }
}
