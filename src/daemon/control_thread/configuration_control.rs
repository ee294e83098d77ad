//! Distribution of configuration: reads of the log, pulls from peers and
//! checkpoints.

use std::net;
use std::sync;
use std::time;

use crate::config_fold;
use crate::configs;
use crate::context;
use crate::daemon;
use crate::log_client;
use crate::peer;
use crate::state_machine::StateMachine as _;
use crate::telemetry;

/// Stream of random values that the configuration replication uses.
const RANDOM_STREAM: u64 = 0x636f_6e66;
/// Time limit of a call that announces the next offset to a peer.
const ANNOUNCE_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Runs the configuration replication and executes its actions.
pub struct ConfigurationControl {
    addresses: indexmap::IndexMap<String, net::SocketAddr>,
    append_in_progress: bool,
    checkpoints: config_fold::CheckpointScheduler,
    events: daemon::ControlSender,
    log: sync::Arc<dyn log_client::LogClient>,
    log_available: bool,
    own_id: String,
    peers: peer::PeerClients,
    pull_timeout: time::Duration,
    replicator: config_fold::Replicator,
}

/// Update from the configuration replication for the control thread.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigurationUpdate {
    /// The fold processed a record.
    Folded(config_fold::FoldEvent),
    /// A configuration is available, so this VM may serve requests.
    Ready,
}

impl ConfigurationControl {
    /// Creates a configuration replication without any folded records.
    #[must_use]
    pub fn new(
        settings: &configs::DaemonConfig,
        context: &context::Context,
        log: sync::Arc<dyn log_client::LogClient>,
        peers: peer::PeerClients,
        events: daemon::ControlSender,
    ) -> Self {
        let mut random = context.random(RANDOM_STREAM);
        let own = config_fold::ReplicationMember {
            availability_zone: settings.availability_zone.clone(),
            id: settings.vm_id.clone(),
            region: settings.region.clone(),
        };
        let fold = config_fold::ConfigFold::new(settings.config_fold);
        let checkpoints = config_fold::CheckpointScheduler::new(settings.checkpoint, &mut random);
        Self {
            addresses: indexmap::IndexMap::new(),
            append_in_progress: false,
            checkpoints,
            events,
            log,
            log_available: true,
            own_id: settings.vm_id.clone(),
            peers,
            pull_timeout: time::Duration::from_millis(settings.spread.pull_timeout_ms),
            replicator: config_fold::Replicator::new(settings.spread, own, fold, random),
        }
    }

    /// Returns the state folded from the log.
    #[must_use]
    pub const fn fold(&self) -> &config_fold::ConfigFold {
        self.replicator.fold()
    }

    /// Returns whether this VM reads the log on behalf of its region.
    #[must_use]
    pub const fn tails_log(&self) -> bool {
        self.replicator.tails_log()
    }

    /// Returns whether this VM has a configuration with which it may serve
    /// requests.
    #[must_use]
    pub const fn is_ready(&self) -> bool {
        self.replicator.is_ready()
    }

    /// Returns the records that a peer pulls, or `None` until this VM is ready
    /// to serve requests.
    #[must_use]
    pub fn answer_pull(&self, request: peer::PullRequest) -> Option<config_fold::RecordBatch> {
        self.replicator
            .answer_pull(request.from_offset, request.max_bytes)
    }

    /// Replaces the list of live peers, with which records are exchanged.
    pub fn set_members<'a>(
        &mut self,
        now_ms: u64,
        members: impl Iterator<Item = &'a crate::membership::Member>,
    ) -> Vec<ConfigurationUpdate> {
        let mut replication_members = Vec::new();
        self.addresses.clear();
        for member in members {
            self.addresses.insert(member.vm_id.clone(), member.address);
            replication_members.push(config_fold::ReplicationMember {
                availability_zone: member.availability_zone.clone(),
                id: member.vm_id.clone(),
                region: member.region.clone(),
            });
        }
        let event = config_fold::ReplicationEvent::MembershipChanged(replication_members);
        self.handle(now_ms, event)
    }

    /// Handles the result of a read of the log.
    pub fn handle_log_read(
        &mut self,
        now_ms: u64,
        read: Result<log_client::LogBatch, log_client::LogError>,
    ) -> Vec<ConfigurationUpdate> {
        match read {
            Ok(batch) => {
                self.record_log_availability(true, "log service available again");
                self.handle(now_ms, config_fold::ReplicationEvent::LogBatch(batch))
            }
            Err(error) => {
                self.record_log_availability(false, &error.to_string());
                self.handle(now_ms, config_fold::ReplicationEvent::LogReadFailed)
            }
        }
    }

    /// Records that the peer at this address has folded the log up to
    /// `next_offset`, exclusive. An unknown address is ignored.
    pub fn record_peer_offset(
        &mut self,
        now_ms: u64,
        peer: net::SocketAddr,
        next_offset: u64,
    ) -> Vec<ConfigurationUpdate> {
        let known = self.addresses.iter().find(|(_, address)| **address == peer);
        let Some((peer, _)) = known else {
            return Vec::new();
        };
        let event = config_fold::ReplicationEvent::PeerOffsetReceived {
            next_offset,
            peer: peer.clone(),
        };
        self.handle(now_ms, event)
    }

    /// Handles an event, executes the resulting actions and returns the
    /// updates for the control thread.
    pub fn handle(
        &mut self,
        now_ms: u64,
        event: config_fold::ReplicationEvent,
    ) -> Vec<ConfigurationUpdate> {
        let actions = self.replicator.handle(now_ms, event);
        actions
            .into_iter()
            .filter_map(|action| self.carry_out(action))
            .collect()
    }

    /// Handles the passage of time. Appends a checkpoint if one is due from
    /// this VM.
    pub fn tick(&mut self, now_ms: u64, unix_ms: u64) -> Vec<ConfigurationUpdate> {
        self.append_due_checkpoint(now_ms, unix_ms);
        self.handle(now_ms, config_fold::ReplicationEvent::Tick)
    }

    /// Records that the append of a checkpoint has ended, whether it succeeded or
    /// failed.
    pub const fn finish_checkpoint_append(&mut self) {
        self.append_in_progress = false;
    }

    /// Appends a record to the log in the background. A failure is only
    /// logged.
    pub fn append(&self, record: config_fold::Record) {
        let log = sync::Arc::clone(&self.log);
        tokio::spawn(async move {
            if let Err(error) = log_client::append_once(&*log, &record).await {
                let message = format!(
                    "appending record {} to the log failed: {error}",
                    record.record_id
                );
                telemetry::Event::LogUnavailable.warn(&message);
            }
        });
    }

    fn append_due_checkpoint(&mut self, now_ms: u64, unix_ms: u64) {
        let oldest_unix_ms = self.fold().state().oldest_needed_unix_ms;
        let age_ms = unix_ms.saturating_sub(oldest_unix_ms);
        let rank = self.replicator.rank();
        let is_due = !self.append_in_progress
            && self.log_available
            && self.checkpoints.is_due(now_ms, rank, age_ms);
        let Some(body) = self.fold().checkpoint().filter(|_| is_due) else {
            return;
        };
        self.append_in_progress = true;
        let record_id = format!("checkpoint-{}-{now_ms}-{unix_ms}", self.own_id);
        let record = config_fold::Record::new(record_id, body);
        let events = sync::Arc::clone(&self.events);
        let log = sync::Arc::clone(&self.log);
        tokio::spawn(async move {
            if let Err(error) = log_client::append_once(&*log, &record).await {
                let message = format!("appending a checkpoint to the log failed: {error}");
                telemetry::Event::LogUnavailable.warn(&message);
            }
            let _ = events
                .send(daemon::ControlEvent::CheckpointAppendFinished)
                .await;
        });
    }

    fn carry_out(&self, action: config_fold::ReplicationAction) -> Option<ConfigurationUpdate> {
        match action {
            config_fold::ReplicationAction::AnnounceOffset { next_offset, peers } => {
                self.announce(next_offset, &peers);
            }
            config_fold::ReplicationAction::BatchRefused { error, peer } => {
                let message = format!("{peer}: invalid batch of records: {error}");
                telemetry::Event::PeerMessageInvalid.warn(&message);
            }
            config_fold::ReplicationAction::Folded(event) => {
                return Some(ConfigurationUpdate::Folded(event));
            }
            config_fold::ReplicationAction::LogBehind { next_offset } => {
                let message = format!(
                    "the log ends at offset {next_offset}, below the offset already folded"
                );
                telemetry::Event::RecordsOutOfOrder.warn(&message);
            }
            config_fold::ReplicationAction::PullFromPeer {
                from,
                limit_bytes,
                peer,
            } => self.pull(peer, from, limit_bytes),
            config_fold::ReplicationAction::ReadLog { from, max_count } => {
                self.read_log(from, max_count);
            }
            config_fold::ReplicationAction::Ready => return Some(ConfigurationUpdate::Ready),
        }
        None
    }

    fn announce(&self, next_offset: u64, peers: &[String]) {
        let addresses = peers.iter().filter_map(|peer| self.addresses.get(peer));
        for address in addresses.copied() {
            let own_id = self.own_id.clone();
            let peers = self.peers.clone();
            tokio::spawn(async move {
                // The next membership probe carries the offset again, so a lost
                // announcement is not repeated.
                let _ = peers
                    .call(address, ANNOUNCE_TIMEOUT, async |client, context| {
                        client.note_offset(context, own_id, next_offset).await
                    })
                    .await;
            });
        }
    }

    fn pull(&self, peer: String, from_offset: u64, max_bytes: usize) {
        let address = self.addresses.get(&peer).copied();
        let events = sync::Arc::clone(&self.events);
        let peers = self.peers.clone();
        let timeout = self.pull_timeout;
        let request = peer::PullRequest {
            from_offset,
            max_bytes,
        };
        tokio::spawn(async move {
            let batch = match address {
                Some(address) => peers
                    .call(address, timeout, async |client, context| {
                        client.pull_records(context, request).await
                    })
                    .await
                    .ok()
                    .flatten(),
                None => None,
            };
            let event = match batch {
                Some(batch) => config_fold::ReplicationEvent::PeerBatch { batch, peer },
                None => config_fold::ReplicationEvent::PullFailed { peer },
            };
            let _ = events.send(daemon::ControlEvent::Replication(event)).await;
        });
    }

    fn read_log(&self, from: u64, max_count: usize) {
        let events = sync::Arc::clone(&self.events);
        let log = sync::Arc::clone(&self.log);
        tokio::spawn(async move {
            let read = log
                .read(log_client::CONFIGURATION_STREAM, from, max_count)
                .await;
            let _ = events.send(daemon::ControlEvent::LogRead(read)).await;
        });
    }

    fn record_log_availability(&mut self, available: bool, message: &str) {
        if available == self.log_available {
            return;
        }
        self.log_available = available;
        if available {
            telemetry::Event::LogAvailable.info(message);
        } else {
            telemetry::Event::LogUnavailable.warn(message);
        }
    }
}

/// Writes a log line about a record that the fold processed.
pub fn log_fold_event(event: &config_fold::FoldEvent) {
    let text = serde_json::to_string(event).unwrap_or_default();
    match event {
        config_fold::FoldEvent::BundleInForce { .. } => {
            telemetry::Event::BundleInForce.info(&text);
        }
        config_fold::FoldEvent::Rejected { .. } | config_fold::FoldEvent::RecordSkipped { .. } => {
            telemetry::Event::RecordRejected.warn(&text);
        }
        config_fold::FoldEvent::GapFound { .. }
        | config_fold::FoldEvent::HistoryConflict { .. }
        | config_fold::FoldEvent::CheckpointRefused { .. } => {
            telemetry::Event::RecordsOutOfOrder.warn(&text);
        }
        _ => telemetry::Event::RecordFolded.debug(|| text),
    }
}
