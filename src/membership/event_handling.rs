//! Handling of events and messages.

use std::net;

use crate::membership;
use crate::membership::membership_core;
use crate::state_machine;

/// Number of random members that are notified immediately when this VM leaves.
const LEAVE_MESSAGE_COUNT: usize = 3;

impl membership_core::Membership {
    fn handle_message(&mut self, from: net::SocketAddr, message: membership::Message) {
        if from == self.own_member.address {
            return;
        }
        let next_offset = message.configuration_next_offset;
        if next_offset > self.configuration_next_offset {
            let peer = from;
            let action = membership::MembershipAction::PeerOffsetSeen { next_offset, peer };
            self.actions.push(action);
        }
        for update in message.updates {
            let address = update.address();
            if self.apply(update, true) {
                self.candidates.insert(address);
            }
        }
        self.handle_body(from, message.body);
    }

    fn handle_body(&mut self, from: net::SocketAddr, body: membership::MessageBody) {
        match body {
            membership::MessageBody::Ack {
                bucket_digests,
                seq,
                wants_record,
            } => {
                self.handle_ack(seq);
                self.exchange_records(from, wants_record);
                if !bucket_digests.is_empty() {
                    self.compare_digests(from, &bucket_digests);
                }
            }
            membership::MessageBody::Members { members } => self.apply_members(members, true),
            membership::MessageBody::Ping { digest, seq } => self.handle_ping(from, seq, digest),
            membership::MessageBody::PingRequest { seq, target } => {
                self.handle_ping_request(from, seq, target);
            }
            membership::MessageBody::PingRequestAck { seq } => self.confirm_probe(seq),
            membership::MessageBody::Repair { buckets, stamps } => {
                self.handle_repair(from, &buckets, stamps);
            }
            membership::MessageBody::RepairReply { members, wanted } => {
                self.handle_repair_reply(from, members, &wanted);
            }
            membership::MessageBody::Sync {
                members,
                next_bucket,
            } => self.handle_sync(from, members, next_bucket),
            membership::MessageBody::SyncRequest { first_bucket } => {
                self.handle_sync_request(from, first_bucket);
            }
        }
    }

    /// Sends this VM's record to a peer that lacks it, and requests the peer's
    /// record if this VM lacks it.
    fn exchange_records(&mut self, peer: net::SocketAddr, wants_record: bool) {
        let lacks_peer = self.table.get(peer).is_none();
        if wants_record || lacks_peer {
            let members = vec![self.own_member.clone()];
            let wanted = if lacks_peer { vec![peer] } else { Vec::new() };
            let body = membership::MessageBody::RepairReply { members, wanted };
            self.send_with(peer, body, Vec::new());
        }
    }

    fn handle_leave(&mut self) {
        if self.own_member.state == membership::MemberState::Leaving {
            return;
        }
        self.own_member.state = membership::MemberState::Leaving;
        self.own_member.version += 1;
        self.announce_own_state();
        for _ in 0..LEAVE_MESSAGE_COUNT {
            if let Some(peer) = self.table.random_live(&mut self.rng) {
                let members = vec![self.own_member.clone()];
                let body = membership::MessageBody::Members { members };
                self.send_with(peer, body, Vec::new());
            }
        }
    }

    fn handle_vm_list(&mut self, listed: &[membership::ListedVm]) {
        for vm in listed {
            let known =
                vm.address == self.own_member.address || self.table.get(vm.address).is_some();
            if !known && !vm.leaving {
                self.candidates.insert(vm.address);
            }
        }
        // A VM that has just started does not wait for its first period.
        if self.table.is_empty() {
            self.ping_candidates();
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
                self.configuration_next_offset = self.configuration_next_offset.max(next_offset);
            }
            membership::MembershipEvent::Leave => self.handle_leave(),
            membership::MembershipEvent::Message { from, message } => {
                self.handle_message(from, message);
            }
            membership::MembershipEvent::Tick => {}
            membership::MembershipEvent::VmList(listed) => self.handle_vm_list(&listed),
        }
        if std::mem::take(&mut self.changed) {
            self.actions.push(membership::MembershipAction::Changed);
        }
        std::mem::take(&mut self.actions)
    }
}
