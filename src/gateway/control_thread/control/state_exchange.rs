//! Exchange of the store's state with other entry VMs.

use std::net;

use crate::gateway;
use crate::gateway::control_thread::control;
use crate::gateway::control_thread::control_event;
use crate::gateway::control_thread::fleet_service;
use crate::gateway::control_thread::pulled_configuration;
use crate::gateway::control_thread::store_cache;

/// Number of VMs of the region that are notified immediately of new state.
const URGENT_REGION_RECEIVER_COUNT: usize = 3;
/// Maximum time for which a datagram is taken to be on its way, in milliseconds. It
/// covers the transit between regions and the wait in a queue.
const MAX_TRANSIT_MS: u64 = 50;

impl control::Control {
    /// Applies the summary of another entry VM, and starts a pull from that VM if
    /// its state is newer and a pull is due.
    pub(super) fn handle_state_summary(
        &mut self,
        now_ms: u64,
        from: net::SocketAddr,
        summary: gateway::StateSummary,
    ) {
        self.members
            .record_store_access(now_ms, from, summary.store_fails);
        self.start_check.record_peer(summary.configuration_version);
        let (registry_revision, version, is_registry_known) = {
            let mut cache = self.cache();
            if summary.store_fails {
                cache.backends.record_read_failure(now_ms);
            }
            cache.heard_version = cache.heard_version.max(summary.newest_known_version);
            if !self.shared.pause_detector().may_be_backlog(now_ms) {
                let sent_ms = now_ms.saturating_sub(MAX_TRANSIT_MS);
                cache.confirm_from_peer(now_ms, sent_ms, &summary);
            }
            (
                cache.backends.revision(),
                cache.configuration_version(),
                store_cache::is_registry_known(&cache),
            )
        };
        self.record_confirmation();
        self.publish_confirmation();
        let candidate = gateway::PullCandidate {
            is_newer: summary.configuration_version > version
                || summary.registry_revision > registry_revision,
            is_same_region: self.members.is_in_own_region(from),
            puller: self.puller(now_ms),
        };
        if summary.newest_known_version > version {
            self.reads.record_configuration_source(now_ms);
        }
        if candidate.is_newer && !is_registry_known {
            self.reads.record_registry_source(now_ms);
        }
        if !self.pulls.try_begin(now_ms, candidate) {
            return;
        }
        let events = self.events.clone();
        tokio::spawn(async move {
            let pulled = fleet_service::pull(from, registry_revision, version).await;
            let pulled = pulled.map(Box::new);
            let event = control_event::ControlEvent::Pulled {
                begun_ms: now_ms,
                from,
                pulled,
            };
            let _ = events.send(event).await;
        });
    }

    /// Returns the part of this VM in getting new state.
    pub(super) fn puller(&self, now_ms: u64) -> gateway::Puller {
        let role = self.members.reader_role(now_ms);
        let has_state = self.shared.snapshot.load().is_complete();
        if role.is_reader || (role.is_seed && !has_state) {
            gateway::Puller::Reader
        } else if has_state {
            gateway::Puller::Updating
        } else {
            gateway::Puller::Starting
        }
    }

    /// Sends this VM's summary to a VM whose state is older or less fresh.
    ///
    /// A VM that has just started so finds a source without waiting for an
    /// announcement. In a large region, the confirmations of the readers reach each
    /// VM before it takes its state for stale and reads the store itself.
    pub(super) fn reply_to_older_summary(
        &self,
        now_ms: u64,
        to: net::SocketAddr,
        summary: &gateway::StateSummary,
    ) {
        let own = self.cache().summary(now_ms);
        if own.is_newer_than(summary) || own.is_fresher_than(summary) {
            let reply = gateway::FleetMessage::StateSummaryReply(own);
            self.datagrams.send(&reply, to);
        }
    }

    /// Applies the state that was pulled from another entry VM.
    pub(super) fn handle_pulled_state(
        &mut self,
        begun_ms: u64,
        from: net::SocketAddr,
        pulled: Result<Box<fleet_service::PulledState>, String>,
    ) {
        let now_ms = self.shared.now_ms();
        let took_ms = now_ms.saturating_sub(begun_ms);
        self.pulls.end_pull(pulled.is_ok());
        let state = match pulled {
            Ok(state) => *state,
            Err(error) => {
                self.shared.metrics.counters.add("fleet.pull-failed");
                let decision_log = &self.shared.decision_log;
                decision_log.record("fleet.pull-failed", || {
                    format!("from={from} took_ms={took_ms} error=\"{error}\"")
                });
                return;
            }
        };
        self.shared.metrics.counters.add("fleet.pulled");
        self.shared.decision_log.record("fleet.pulled", || {
            format!(
                "from={from} took_ms={took_ms} rows={} routes={} version={}",
                state.rows.len(),
                state.route_count(),
                state.summary.configuration_version
            )
        });
        let source = format!("peer={from}");
        let (changes, updated_configuration) = {
            let mut cache = self.cache();
            let update = gateway::TableUpdate {
                is_complete: state.is_complete,
                next_offset: state.registry_next_offset,
                revision: state.summary.registry_revision,
                rows: state.rows,
            };
            let changes = cache.backends.merge(now_ms, update);
            let base = cache.routes().map(|routes| routes.configuration.as_ref());
            let change = state
                .configuration
                .map(pulled_configuration::PulledConfiguration::into_change);
            let updated = change.and_then(|change| change.apply(base));
            (changes, updated)
        };
        if let Some(configuration) = updated_configuration {
            self.put_in_force(configuration, &source);
        }
        let is_registry_known = {
            let mut cache = self.cache();
            cache.confirm_from_peer(now_ms, begun_ms, &state.summary);
            store_cache::is_registry_known(&cache)
        };
        if is_registry_known {
            self.reads.mark_registry_complete();
        }
        self.record_outdated_rows(begun_ms, &source);
        self.apply_backend_changes(&changes, &source);
        self.record_confirmation();
        self.publish_first_registry();
        let version = state.summary.configuration_version;
        self.start_check.record_peer(version);
        self.publish_confirmation();
        let next_offset = state.configuration_next_offset;
        let is_offset_known = self
            .cache()
            .adopt_configuration_offset(version, next_offset);
        if is_offset_known {
            self.reads.mark_configuration_known();
        }
    }

    /// Sends the state summary to a few random VMs immediately.
    pub(super) fn send_urgent_summary(&self) {
        let mut receivers = self
            .members
            .random_peers(URGENT_REGION_RECEIVER_COUNT, true);
        receivers.extend(self.members.random_peers(1, false));
        self.send_summary(&receivers);
    }

    /// Sends the state summary to VMs.
    pub(super) fn send_summary(&self, receivers: &[net::SocketAddr]) {
        let summary = self.cache().summary(self.shared.now_ms());
        let message = gateway::FleetMessage::StateSummary(summary);
        self.datagrams.send_to_all(&message, receivers);
    }
}
