//! Simulated messages between VMs and with the log.

use foxtailwinch::config_fold;
use foxtailwinch::log_client;
use foxtailwinch::state_machine::StateMachine as _;
use rand::Rng as _;

use crate::fleet;

impl fleet::Fleet {
    pub(super) fn deliver(&mut self, to: &str, message: fleet::Message) {
        use config_fold::ReplicationEvent;
        match message {
            fleet::Message::LogResponse(batch) => {
                self.handle(to, ReplicationEvent::LogBatch(batch));
            }
            fleet::Message::LogFailed => self.handle(to, ReplicationEvent::LogReadFailed),
            fleet::Message::Offset(peer, next_offset) => {
                self.handle(
                    to,
                    ReplicationEvent::PeerOffsetReceived { next_offset, peer },
                );
            }
            fleet::Message::Batch(peer, batch) => {
                self.handle(to, ReplicationEvent::PeerBatch { batch, peer });
            }
            fleet::Message::Pull {
                from,
                limit_bytes,
                peer,
            } => {
                let vm = self.vms.get(to);
                if let Some(batch) = vm.and_then(|vm| vm.replicator.answer_pull(from, limit_bytes))
                {
                    self.send(peer, fleet::Message::Batch(to.to_owned(), batch));
                }
            }
        }
    }

    pub(super) fn handle(&mut self, id: &str, event: config_fold::ReplicationEvent) {
        let Some(vm) = self.vms.get_mut(id) else {
            return;
        };
        let actions = vm.replicator.handle(self.now_ms, event);
        self.check_vm(id);
        for action in actions {
            self.carry_out(id, action);
        }
    }

    pub(super) fn carry_out(&mut self, id: &str, action: config_fold::ReplicationAction) {
        use config_fold::ReplicationAction;
        match action {
            ReplicationAction::AnnounceOffset { next_offset, peers } => {
                for peer in peers {
                    self.send(peer, fleet::Message::Offset(id.to_owned(), next_offset));
                }
            }
            ReplicationAction::PullFromPeer {
                from,
                limit_bytes,
                peer,
            } => {
                let id = id.to_owned();
                let pull = fleet::Message::Pull {
                    from,
                    limit_bytes,
                    peer: id.clone(),
                };
                if !self.is_partitioned(&id, &peer) {
                    self.send(peer, pull);
                }
            }
            ReplicationAction::ReadLog { from, max_count } => {
                let response = self.read_log(id, from, max_count);
                self.send(id.to_owned(), response);
            }
            ReplicationAction::Ready => {
                let served = self.min_served_offset;
                let offset = self.vms[id].in_force_offset;
                assert!(
                    offset >= served,
                    "{id} becomes ready with roll-out {offset:?}, older than {served:?} of other VMs"
                );
            }
            _ => {}
        }
    }

    pub(super) fn read_log(&self, id: &str, from: u64, max_count: usize) -> fleet::Message {
        let is_cut_off = self.now_ms < self.regions_partitioned_until_ms
            && self.vms[id].member.region != "pwani";
        if is_cut_off || self.now_ms < self.log_down_until_ms {
            return fleet::Message::LogFailed;
        }
        let is_requested =
            |record: &&config_fold::LogRecord| from >= self.first_offset && record.offset >= from;
        fleet::Message::LogResponse(log_client::LogBatch {
            first_offset: self.first_offset,
            next_offset: self.records.len() as u64,
            records: self
                .kept_records()
                .filter(is_requested)
                .take(max_count)
                .cloned()
                .collect(),
        })
    }

    /// Counts the records in `message` if it is sent from one region to the other.
    pub(super) fn count_cross_region_records(&mut self, to: &str, message: &fleet::Message) {
        let region = |id: &str| self.vms.get(id).map(|vm| vm.member.region.as_str());
        let (from, count) = match message {
            fleet::Message::LogResponse(batch) => (Some("pwani"), batch.records.len()),
            fleet::Message::Batch(peer, batch) => match &batch.content {
                config_fold::BatchContent::Records { records, .. } => (region(peer), records.len()),
                config_fold::BatchContent::Checkpoint(_) => (region(peer), 1),
            },
            _ => return,
        };
        if from != region(to) {
            self.cross_region_record_count += count;
        }
    }

    /// Sends a message, which may be lost or delayed, or duplicated if it is a batch.
    pub(super) fn send(&mut self, to: String, message: fleet::Message) {
        self.count_cross_region_records(&to, &message);
        let is_lost = self.random.random_bool(0.05);
        if is_lost {
            return;
        }
        let delay_ms = self.random.random_range(0..300);
        if let fleet::Message::Batch(peer, batch) = &message
            && self.random.random_bool(0.1)
        {
            let late_ms = self.now_ms + self.random.random_range(0..5_000);
            let duplicate = fleet::Message::Batch(peer.clone(), batch.clone());
            self.messages
                .insert((late_ms, self.next_id), (to.clone(), duplicate));
            self.next_id += 1;
        }
        let key = (self.now_ms + delay_ms, self.next_id);
        self.next_id += 1;
        self.messages.insert(key, (to, message));
    }

    pub(super) fn heartbeat(&mut self, id: &str, ids: &[String]) {
        if !self.random.random_bool(fleet::HEARTBEAT_PROBABILITY) {
            return;
        }
        let peer = ids[self.random.random_range(0..ids.len())].clone();
        if !self.is_partitioned(id, &peer) {
            let own = self.vms[id].replicator.fold().next_offset();
            let other = self.vms[&peer].replicator.fold().next_offset();
            self.send(peer.clone(), fleet::Message::Offset(id.to_owned(), own));
            self.send(id.to_owned(), fleet::Message::Offset(peer, other));
        }
    }

    pub(super) fn is_partitioned(&self, one: &str, other: &str) -> bool {
        let region = |id: &str| self.vms.get(id).map(|vm| vm.member.region.clone());
        self.now_ms < self.regions_partitioned_until_ms && region(one) != region(other)
    }
}
