//! Failure detection by probes, with piggybacked updates.

use std::net;

use rand::Rng as _;
use rand::seq::IteratorRandom as _;

use crate::membership;
use crate::membership::membership_core;

/// Maximum number of concurrent pings on behalf of other VMs.
const MAX_RELAY_COUNT: usize = 1_024;
/// Number of candidates pinged per period while no live member is known.
const JOIN_CANDIDATE_COUNT: usize = 3;

impl membership_core::Membership {
    pub(super) fn run_timers(&mut self) {
        let period_ms = self.config.probe_period_ms;
        let Some(due_ms) = self.period_due_ms else {
            // The first period starts at a random time, so that VMs that start
            // together do not probe at the same time.
            let first_ms = self.rng.random_range(0..=period_ms);
            self.period_due_ms = Some(self.now_ms + first_ms);
            self.gossip.push(
                self.own_member.address,
                true,
                self.config.gossip_transmissions,
            );
            return;
        };
        self.expire();
        self.send_ping_requests();
        self.compare_after_start();
        if due_ms <= self.now_ms {
            self.period_due_ms = Some(self.now_ms + period_ms);
            self.finish_probe();
            self.start_probe();
            self.probe_dead();
            self.notify_suspect();
            self.ping_candidates();
            self.continue_sync();
            let now_ms = self.now_ms;
            self.relays.retain(|_, relay| relay.due_ms > now_ms);
        }
    }

    /// Declares suspects dead whose suspicion timed out, and removes dead
    /// members whose retention time is over.
    fn expire(&mut self) {
        while let Some((due_ms, address)) = self.expiries.first().copied() {
            if due_ms > self.now_ms {
                return;
            }
            self.expiries.pop_first();
            self.expiry_ms.swap_remove(&address);
            let Some(member) = self.table.get(address) else {
                continue;
            };
            if member.state == membership::MemberState::Dead {
                self.table.remove(address);
                self.changed = true;
            } else {
                self.update_state(address, membership::MemberState::Dead);
            }
        }
    }

    fn update_state(&mut self, address: net::SocketAddr, state: membership::MemberState) {
        if let Some(member) = self.table.get(address) {
            let stamp = membership::MemberStamp {
                state,
                ..member.stamp()
            };
            self.apply(membership::Update::Changed(stamp), true);
        }
    }

    /// Sends ping requests to random members if the probed member has not
    /// acknowledged in time.
    fn send_ping_requests(&mut self) {
        let Some(probe) = &mut self.probe else { return };
        if probe
            .indirect_due_ms
            .is_none_or(|due_ms| due_ms > self.now_ms)
        {
            return;
        }
        probe.indirect_due_ms = None;
        let (seq, target) = (probe.seq, probe.target);
        let mut helpers = indexmap::IndexSet::new();
        for _ in 0..self.config.indirect_probes {
            helpers.extend(self.table.random_live(&mut self.rng));
        }
        for helper in helpers {
            if helper != target {
                self.send(helper, membership::MessageBody::PingRequest { seq, target });
            }
        }
    }

    fn finish_probe(&mut self) {
        if let Some(probe) = self.probe.take()
            && let Some(member) = self.table.get(probe.target)
            && member.state < membership::MemberState::Suspect
        {
            self.update_state(probe.target, membership::MemberState::Suspect);
            // The ping carries the suspicion, so that the target can refute it
            // before the suspicion spreads.
            self.ping(probe.target, None);
        }
    }

    fn start_probe(&mut self) {
        let Some(target) = self.table.random_live(&mut self.rng) else {
            return;
        };
        let is_repair_due = self.repair_due_ms <= self.now_ms;
        let digest = is_repair_due.then(|| self.table.digest(&self.own_member.stamp()));
        if is_repair_due {
            self.repair_due_ms = self.now_ms + self.config.repair_period_ms;
        }
        let seq = self.ping(target, digest);
        self.probe = Some(membership_core::Probe {
            indirect_due_ms: Some(self.now_ms + self.config.ping_timeout_ms),
            seq,
            target,
        });
    }

    fn probe_dead(&mut self) {
        if self.dead_probe_due_ms > self.now_ms {
            return;
        }
        self.dead_probe_due_ms = self.now_ms + self.config.dead_probe_period_ms;
        if let Some(target) = self.table.random_dead(&mut self.rng) {
            self.ping(target, None);
        }
    }

    /// Lets a random member ping a suspect on behalf of this VM and tell it of the
    /// suspicion, so that it can refute it.
    ///
    /// Load pattern: some pairs of VMs are cut in one direction. The suspicion or its
    /// refutation may pass through such a pair, and each change is sent a limited
    /// number of times only.
    fn notify_suspect(&mut self) {
        let suspects = self.table.iter();
        let suspects = suspects.filter(|member| member.state == membership::MemberState::Suspect);
        let Some(stamp) = suspects
            .map(membership::Member::stamp)
            .choose(&mut self.rng)
        else {
            return;
        };
        let Some(helper) = self.table.random_live(&mut self.rng) else {
            return;
        };
        let seq = self.next_seq;
        self.next_seq += 1;
        let target = stamp.address;
        if helper == target {
            self.ping(target, None);
        } else {
            let body = membership::MessageBody::PingRequest { seq, target };
            self.send_with(helper, body, vec![membership::Update::Changed(stamp)]);
        }
    }

    /// Pings random candidates, which are known by address only.
    pub(super) fn ping_candidates(&mut self) {
        let has_no_live_member = self.table.random_live(&mut self.rng).is_none();
        let ping_count = if has_no_live_member {
            JOIN_CANDIDATE_COUNT
        } else {
            1
        };
        for _ in 0..ping_count.min(self.candidates.len()) {
            let index = self.rng.random_range(0..self.candidates.len());
            if let Some(candidate) = self.candidates.swap_remove_index(index) {
                self.ping(candidate, None);
                if has_no_live_member {
                    self.candidates.insert(candidate);
                }
            }
        }
    }

    pub(super) fn ping(&mut self, target: net::SocketAddr, digest: Option<u64>) -> u64 {
        let seq = self.next_seq;
        self.next_seq += 1;
        self.send(target, membership::MessageBody::Ping { digest, seq });
        seq
    }

    pub(super) fn handle_ping(&mut self, from: net::SocketAddr, seq: u64, digest: Option<u64>) {
        let own_stamp = self.own_member.stamp();
        let differs = digest.is_some_and(|digest| digest != self.table.digest(&own_stamp));
        let bucket_digests = if differs {
            self.table.bucket_digests(&own_stamp)
        } else {
            Vec::new()
        };
        let wants_record = self.table.get(from).is_none();
        let ack = membership::MessageBody::Ack {
            bucket_digests,
            seq,
            wants_record,
        };
        self.send(from, ack);
    }

    pub(super) fn handle_ping_request(
        &mut self,
        requester: net::SocketAddr,
        requester_seq: u64,
        target: net::SocketAddr,
    ) {
        if self.relays.len() >= MAX_RELAY_COUNT {
            return;
        }
        let seq = self.ping(target, None);
        let due_ms = self.now_ms + self.config.probe_period_ms;
        let relay = membership_core::Relay {
            requester,
            requester_seq,
            due_ms,
        };
        self.relays.insert(seq, relay);
    }

    pub(super) fn handle_ack(&mut self, seq: u64) {
        self.confirm_probe(seq);
        if let Some(relay) = self.relays.swap_remove(&seq) {
            let seq = relay.requester_seq;
            self.send(
                relay.requester,
                membership::MessageBody::PingRequestAck { seq },
            );
        }
    }

    pub(super) fn confirm_probe(&mut self, seq: u64) {
        if self.probe.is_some_and(|probe| probe.seq == seq) {
            self.probe = None;
        }
    }

    /// Sends a message with as many queued updates as fit.
    ///
    /// A suspect or dead receiver also gets its own stamp, so that it can
    /// refute that state. An acknowledgement also carries the stamp of this VM
    /// once its version is above 0, in case the receiver still suspects this
    /// VM.
    pub(super) fn send(&mut self, to: net::SocketAddr, body: membership::MessageBody) {
        let mut updates = Vec::new();
        if let Some(receiver) = self.table.get(to)
            && receiver.state >= membership::MemberState::Suspect
        {
            updates.push(membership::Update::Changed(receiver.stamp()));
        }
        if self.own_member.version > 0 && matches!(body, membership::MessageBody::Ack { .. }) {
            updates.push(membership::Update::Changed(self.own_member.stamp()));
        }
        self.add_changes(&mut updates);
        self.send_with(to, body, updates);
    }

    fn add_changes(&mut self, updates: &mut Vec<membership::Update>) {
        let mut remaining_bytes = self.config.piggyback_limit_bytes;
        let (table, own_member) = (&self.table, &self.own_member);
        let change = |address, joined: bool| {
            let own = (address == own_member.address).then_some(own_member);
            let member = own.or_else(|| table.get(address))?;
            Some(if joined {
                membership::Update::Joined(member.clone())
            } else {
                membership::Update::Changed(member.stamp())
            })
        };
        let next_changes = self.gossip.next_changes(|address, joined| {
            let size_bytes = change(address, joined).map_or(0, |update| update.size_bytes());
            let fits = size_bytes <= remaining_bytes;
            remaining_bytes = remaining_bytes.saturating_sub(size_bytes);
            fits
        });
        let changes = next_changes.into_iter();
        updates.extend(changes.filter_map(|(address, joined)| change(address, joined)));
    }

    pub(super) fn send_with(
        &mut self,
        to: net::SocketAddr,
        body: membership::MessageBody,
        updates: Vec<membership::Update>,
    ) {
        let message = membership::Message {
            body,
            configuration_next_offset: self.configuration_next_offset,
            updates,
        };
        self.actions
            .push(membership::MembershipAction::Send { message, to });
    }
}
