//! Delivery of messages to the VMs of a fleet.

use foxtailwinch::claims;

use crate::fleet;
use crate::message;
use crate::mutant;

impl fleet::Fleet {
    pub fn deliver(&mut self, message: usize, keep_copy: bool) {
        let Some(index) = message.checked_rem(self.network.len()) else {
            return;
        };
        let envelope = self.network[index].clone();
        if self.vms[envelope.to].paused {
            return;
        }
        if !keep_copy {
            self.network.swap_remove(index);
        }
        self.receive(envelope);
    }

    /// Delivers all messages in the order of sending, except those to paused
    /// VMs.
    pub fn deliver_all(&mut self) {
        for envelope in std::mem::take(&mut self.network) {
            if self.vms[envelope.to].paused {
                self.network.push(envelope);
            } else {
                self.receive(envelope);
            }
        }
    }

    fn receive(&mut self, envelope: message::Envelope) {
        let message::Envelope { from, message, to } = envelope;
        match message {
            message::Message::ForwardToHome {
                deadline_ms,
                entry_attempt_id,
                fingerprint,
                key,
            } => {
                let attempt_id = self.home_attempt_id(entry_attempt_id);
                self.vms[to]
                    .origins
                    .insert(attempt_id, (from, entry_attempt_id));
                self.vms[to].fingerprints.insert(attempt_id, fingerprint);
                let event = claims::HomeEvent::Request {
                    attempt_id,
                    deadline_ms,
                    fingerprint,
                    key,
                };
                self.at_home(to, event);
            }
            message::Message::Claim { mut claim } => {
                let key = claim.key.clone();
                self.replace_witness(to, &mut claim.key);
                let event = claims::WitnessEvent::Claim {
                    claim,
                    message_id: 0,
                };
                self.at_witness(to, event, Some(&(from, key)));
            }
            message::Message::ClaimReply { key, reply } => self.claim_replied(to, &key, reply),
            message::Message::HandOver { batch } => {
                self.at_witness(to, claims::WitnessEvent::HandOver { batch }, None);
            }
            message::Message::HomeReply {
                entry_attempt_id,
                reply,
            } => {
                let attempt_id = entry_attempt_id;
                let streams = reply == claims::EntryHomeReply::AnswerStreaming;
                self.at_entry(to, claims::EntryEvent::HomeReplied { attempt_id, reply });
                if streams {
                    self.ledger.record_streaming(attempt_id);
                }
            }
            message::Message::Seal {
                entry_attempt_id,
                mut seal,
            } => {
                let key = seal.key.clone();
                self.replace_witness(to, &mut seal.key);
                let message_id = entry_attempt_id;
                let event = claims::WitnessEvent::Seal { message_id, seal };
                self.at_witness(to, event, Some(&(from, key)));
            }
            message::Message::SealReply {
                entry_attempt_id,
                reply,
            } => {
                let attempt_id = entry_attempt_id;
                self.at_entry(to, claims::EntryEvent::SealReplied { attempt_id, reply });
            }
        }
    }

    /// Makes the mutant witness accept a key that names another incarnation.
    fn replace_witness(&self, vm: usize, key: &mut claims::ClaimKey) {
        if self.mutant == Some(mutant::Mutant::WitnessIgnoresIncarnation) {
            key.prefix.witness = self.vms[vm].identity;
        }
    }

    fn claim_replied(&mut self, vm: usize, key: &claims::ClaimKey, reply: claims::ClaimReply) {
        self.at_home(
            vm,
            claims::HomeEvent::Claimed {
                key: key.clone(),
                reply,
            },
        );
        let late = self.mutant == Some(mutant::Mutant::LateGrantRuns)
            && reply == claims::ClaimReply::Granted;
        if late && let Some(fingerprint) = self.vms[vm].pending_claims.swap_remove(key) {
            self.ledger.record_run(key, fingerprint);
        }
    }
}
