//! What membership does with each event.

use std::net;

use crate::membership;
use crate::membership::membership_core;
use crate::state_machine;

/// Members told at once that this VM leaves.
const LEAVE_MESSAGES: usize = 3;

impl membership_core::Membership {
    fn received(&mut self, from: net::SocketAddr, message: membership::Message) {
        if from == self.me.address {
            return;
        }
        let next_offset = message.configuration_next_offset;
        if next_offset > self.next_offset {
            let peer = from;
            let seen = membership::MembershipAction::PeerOffsetSeen { next_offset, peer };
            self.actions.push(seen);
        }
        for update in message.updates {
            let address = update.address();
            if self.apply(update, true) {
                self.candidates.insert(address);
            }
        }
        self.received_body(from, message.body);
    }

    fn received_body(&mut self, from: net::SocketAddr, body: membership::MessageBody) {
        match body {
            membership::MessageBody::Ack {
                bucket_digests,
                seq,
                wants_record,
            } => {
                self.acked(seq);
                self.introduce(from, wants_record);
                if !bucket_digests.is_empty() {
                    self.compare(from, &bucket_digests);
                }
            }
            membership::MessageBody::Members { members } => self.take_members(members, true),
            membership::MessageBody::Ping { digest, seq } => self.pinged(from, seq, digest),
            membership::MessageBody::PingRequest { seq, target } => {
                self.ping_requested(from, seq, target);
            }
            membership::MessageBody::PingRequestAck { seq } => self.probe_answered(seq),
            membership::MessageBody::Repair { buckets, stamps } => {
                self.repair(from, &buckets, stamps);
            }
            membership::MessageBody::RepairReply { members, wanted } => {
                self.repair_replied(from, members, &wanted);
            }
            membership::MessageBody::Sync {
                members,
                next_bucket,
            } => self.synced(from, members, next_bucket),
            membership::MessageBody::SyncRequest { first_bucket } => {
                self.sync_requested(from, first_bucket);
            }
        }
    }

    /// Gives one's record to a peer that lacks it and asks for the peer's.
    fn introduce(&mut self, peer: net::SocketAddr, wants_record: bool) {
        let lacks = self.table.get(peer).is_none();
        if wants_record || lacks {
            let members = vec![self.me.clone()];
            let wanted = if lacks { vec![peer] } else { Vec::new() };
            let body = membership::MessageBody::RepairReply { members, wanted };
            self.send_with(peer, body, Vec::new());
        }
    }

    fn leave(&mut self) {
        if self.me.state == membership::MemberState::Leaving {
            return;
        }
        self.me.state = membership::MemberState::Leaving;
        self.me.version += 1;
        self.announce_self();
        for _ in 0..LEAVE_MESSAGES {
            if let Some(peer) = self.table.random_live(&mut self.rng) {
                let members = vec![self.me.clone()];
                let body = membership::MessageBody::Members { members };
                self.send_with(peer, body, Vec::new());
            }
        }
    }

    fn vm_list(&mut self, seen: &[membership::ListedVm]) {
        for vm in seen {
            let known = vm.address == self.me.address || self.table.get(vm.address).is_some();
            if !known && !vm.leaving {
                self.candidates.insert(vm.address);
            }
        }
    }
}

impl state_machine::StateMachine for membership_core::Membership {
    type Action = membership::MembershipAction;
    type Event = membership::MembershipEvent;

    fn handle(
        &mut self,
        now_ms: u64,
        event: membership::MembershipEvent,
    ) -> Vec<membership::MembershipAction> {
        self.now_ms = self.now_ms.max(now_ms);
        self.run_timers();
        match event {
            membership::MembershipEvent::ConfigurationOffset { next_offset } => {
                self.next_offset = self.next_offset.max(next_offset);
            }
            membership::MembershipEvent::Leave => self.leave(),
            membership::MembershipEvent::Message { from, message } => self.received(from, message),
            membership::MembershipEvent::Tick => {}
            membership::MembershipEvent::VmList(seen) => self.vm_list(&seen),
        }
        if std::mem::take(&mut self.changed) {
            self.actions.push(membership::MembershipAction::Changed);
        }
        std::mem::take(&mut self.actions)
    }
}
