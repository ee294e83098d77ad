//! Replication of the configuration log to this VM and its peers.

use rand::seq::IteratorRandom as _;

use crate::config_fold;
use crate::config_fold::{log_read_scheduler, pull_scheduler, readiness_gate, tailers};
use crate::configs;
use crate::log_client;
use crate::state_machine;

/// Replication of the configuration log to this VM and its peers.
///
/// In each region, a few VMs tail the log. All VMs pull new records from peers
/// with a higher offset. The list of members need not be correct: with a wrong
/// list more or fewer VMs read the log, but the resulting state is the same.
#[derive(Clone, Debug)]
pub struct Replicator {
    config: configs::ReplicationConfig,
    fold: config_fold::ConfigFold,
    log_reads: log_read_scheduler::LogReadScheduler,
    /// All members, including this VM.
    members: Vec<config_fold::ReplicationMember>,
    /// Ids of the other members in the region of this VM.
    same_region_peers: indexmap::IndexSet<String>,
    /// This VM.
    own: config_fold::ReplicationMember,
    pulls: pull_scheduler::PullScheduler,
    random: rand::rngs::SmallRng,
    readiness: readiness_gate::ReadinessGate,
    /// Whether this VM is one of those that tail the log for its region.
    tails_log: bool,
}

impl Replicator {
    /// Creates the replicator of the VM `own`, which starts from `fold`.
    #[must_use]
    pub fn new(
        config: configs::ReplicationConfig,
        own: config_fold::ReplicationMember,
        fold: config_fold::ConfigFold,
        random: rand::rngs::SmallRng,
    ) -> Self {
        Self {
            fold,
            log_reads: log_read_scheduler::LogReadScheduler::new(&config),
            members: vec![own.clone()],
            same_region_peers: indexmap::IndexSet::new(),
            own,
            pulls: pull_scheduler::PullScheduler::new(&config),
            random,
            readiness: readiness_gate::ReadinessGate::default(),
            tails_log: true,
            config,
        }
    }

    /// Returns the fold with the configuration state.
    #[must_use]
    pub const fn fold(&self) -> &config_fold::ConfigFold {
        &self.fold
    }

    /// Returns the batch for a peer's pull of the records from the offset `from`.
    /// Returns `None` while this VM is not ready, because its incomplete history
    /// may have an older bundle in force.
    #[must_use]
    pub fn answer_pull(&self, from: u64, limit_bytes: usize) -> Option<config_fold::RecordBatch> {
        self.is_ready()
            .then(|| self.fold.records_from(from, limit_bytes))
    }

    /// Returns whether this VM has a configuration that it may serve with.
    #[must_use]
    pub const fn is_ready(&self) -> bool {
        self.readiness.is_ready()
    }

    /// Returns whether this VM tails the log for its region.
    #[must_use]
    pub const fn tails_log(&self) -> bool {
        self.tails_log
    }

    /// Returns the rank of this VM among all members by rendezvous hash, from 0.
    #[must_use]
    pub fn rank(&self) -> u64 {
        let ranked = tailers::rank(&self.members);
        let place = ranked.iter().position(|member| member.id == self.own.id);
        place.map_or(u64::MAX, |place| place as u64)
    }

    fn update_members(&mut self, mut members: Vec<config_fold::ReplicationMember>) {
        members.retain(|member| member.id != self.own.id);
        self.pulls.retain_members(&members);
        self.same_region_peers = members
            .iter()
            .filter(|member| member.region == self.own.region)
            .map(|member| member.id.clone())
            .collect();
        members.push(self.own.clone());
        let tailers = tailers::choose(&members, &self.own.region, self.config.tailer_count);
        self.tails_log = tailers.contains(&self.own.id.as_str());
        self.members = members;
    }

    fn apply_log_batch(
        &mut self,
        now_ms: u64,
        batch: &log_client::LogBatch,
    ) -> Vec<config_fold::ReplicationAction> {
        let offset_before = self.read_offset();
        let events: Vec<_> = batch
            .records
            .iter()
            .flat_map(|record| self.fold.apply(record))
            .collect();
        let mut actions: Vec<_> = events
            .into_iter()
            .map(config_fold::ReplicationAction::Folded)
            .collect();
        let is_at_end = self.read_offset() >= batch.next_offset;
        // Without progress, the next read waits for the poll interval, because
        // immediate reads would repeat forever.
        let records_expired = batch.first_offset > offset_before;
        let has_more = !is_at_end && (self.read_offset() > offset_before || records_expired);
        self.log_reads
            .record_response(now_ms, batch.first_offset, has_more);
        if !has_more {
            self.readiness.record_log_finished();
        }
        if self.fold.next_offset() >= batch.next_offset {
            self.readiness.record_history_complete();
        }
        if batch.next_offset < self.fold.next_offset() {
            let next_offset = batch.next_offset;
            actions.push(config_fold::ReplicationAction::LogBehind { next_offset });
        }
        actions
    }

    fn apply_peer_batch(
        &mut self,
        now_ms: u64,
        peer: String,
        batch: &config_fold::RecordBatch,
    ) -> Vec<config_fold::ReplicationAction> {
        let offset_before = self.fold.next_offset();
        let result = self.fold.apply_batch(batch);
        let advanced = self.fold.next_offset() > offset_before;
        let random = &mut self.random;
        self.pulls
            .record_response(now_ms, &peer, batch.next_offset, advanced, random);
        let is_at_end = self.fold.next_offset() >= batch.next_offset;
        if !advanced || is_at_end {
            self.readiness.record_peer_finished(&peer);
        }
        if result.is_ok() && is_at_end {
            self.readiness.record_history_complete();
        }
        match result {
            Ok(events) => events
                .into_iter()
                .map(config_fold::ReplicationAction::Folded)
                .collect(),
            // A peer that is behind this VM is not an error.
            Err(config_fold::BatchError::Checkpoint {
                source: config_fold::SnapshotError::Older { .. },
            }) => Vec::new(),
            Err(error) => vec![config_fold::ReplicationAction::BatchRefused { error, peer }],
        }
    }

    fn handle_pull_failure(&mut self, now_ms: u64, peer: &str) {
        self.pulls.record_failure(now_ms, peer, &mut self.random);
        self.readiness.record_peer_finished(peer);
    }

    fn handle_log_failure(&mut self, now_ms: u64) {
        self.log_reads.record_failure(now_ms, &mut self.random);
        self.readiness.record_log_finished();
    }

    fn expire_requests(&mut self, now_ms: u64) {
        for peer in self.pulls.timed_out_peers(now_ms) {
            self.handle_pull_failure(now_ms, &peer);
        }
        if self.log_reads.is_timed_out(now_ms) {
            self.handle_log_failure(now_ms);
        }
    }

    fn start_requests(&mut self, now_ms: u64) -> Vec<config_fold::ReplicationAction> {
        let mut actions = Vec::new();
        if (self.tails_log || !self.readiness.is_ready()) && self.log_reads.start(now_ms) {
            actions.push(config_fold::ReplicationAction::ReadLog {
                from: self.read_offset(),
                max_count: self.config.log_read_count,
            });
        }
        if !self.readiness.is_ready() {
            actions.extend(self.query_startup_peers(now_ms));
        }
        let next_offset = self.fold.next_offset();
        let random = &mut self.random;
        let next = self
            .pulls
            .start_next(now_ms, next_offset, &self.same_region_peers, random);
        actions.extend(next.map(|peer| self.pull_from(peer)));
        actions
    }

    fn query_startup_peers(&mut self, now_ms: u64) -> Vec<config_fold::ReplicationAction> {
        if self.pulls.is_backoff_over(now_ms) {
            self.readiness.clear_peers_if_all_finished();
        }
        let limit = self.config.start_peer_count;
        let missing_count = limit.saturating_sub(self.readiness.queried_peer_count());
        let mut peers = self
            .same_region_peers
            .iter()
            .cloned()
            .choose_multiple(&mut self.random, missing_count);
        let other_region_peers = self.members.iter().map(|member| member.id.clone());
        let other_region_peers = other_region_peers
            .filter(|id| *id != self.own.id && !self.same_region_peers.contains(id));
        let other_region_count = missing_count - peers.len();
        peers.extend(other_region_peers.choose_multiple(&mut self.random, other_region_count));
        peers.retain(|peer| self.readiness.add_queried_peer(peer));
        for peer in &peers {
            self.pulls.start(now_ms, peer);
        }
        peers.into_iter().map(|peer| self.pull_from(peer)).collect()
    }

    fn pull_from(&self, peer: String) -> config_fold::ReplicationAction {
        config_fold::ReplicationAction::PullFromPeer {
            from: self.fold.next_offset(),
            limit_bytes: self.config.pull_limit_bytes,
            peer,
        }
    }

    fn offset_announcement(&mut self) -> config_fold::ReplicationAction {
        let count = self.config.announce_count;
        let same_region_peers = self.same_region_peers.iter().cloned();
        config_fold::ReplicationAction::AnnounceOffset {
            next_offset: self.fold.next_offset(),
            peers: same_region_peers.choose_multiple(&mut self.random, count),
        }
    }

    fn read_offset(&self) -> u64 {
        self.fold
            .next_read_offset()
            .max(self.log_reads.first_offset())
    }
}

impl state_machine::StateMachine for Replicator {
    type Action = config_fold::ReplicationAction;
    type Event = config_fold::ReplicationEvent;

    fn handle(&mut self, now_ms: u64, event: Self::Event) -> Vec<Self::Action> {
        let offset_before = self.fold.next_offset();
        let mut actions = Vec::new();
        match event {
            config_fold::ReplicationEvent::LogBatch(batch) => {
                actions = self.apply_log_batch(now_ms, &batch);
            }
            config_fold::ReplicationEvent::LogReadFailed => self.handle_log_failure(now_ms),
            config_fold::ReplicationEvent::MembershipChanged(members) => {
                self.update_members(members);
            }
            config_fold::ReplicationEvent::PeerBatch { batch, peer } => {
                actions = self.apply_peer_batch(now_ms, peer, &batch);
            }
            config_fold::ReplicationEvent::PullFailed { peer } => {
                self.handle_pull_failure(now_ms, &peer);
            }
            config_fold::ReplicationEvent::PeerOffsetReceived { next_offset, peer } => {
                self.pulls.record_offset(&peer, next_offset);
            }
            config_fold::ReplicationEvent::Tick => {}
        }
        self.expire_requests(now_ms);
        let has_bundle = self.fold.in_force().is_some();
        let limit_ms = self.config.start_wait_ms;
        if self.readiness.update(now_ms, has_bundle, limit_ms) {
            actions.push(config_fold::ReplicationAction::Ready);
        }
        if self.fold.next_offset() > offset_before {
            actions.push(self.offset_announcement());
        }
        actions.extend(self.start_requests(now_ms));
        actions
    }
}
