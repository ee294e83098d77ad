//! The driver of a fleet, which carries out the actions of the state machines.

use foxtailwinch::claims;
use foxtailwinch::state_machine::StateMachine as _;
use foxtailwinch::verdict;

use crate::fleet;
use crate::message;
use crate::mutant;

impl fleet::Fleet {
    pub fn at_home(&mut self, vm: usize, event: claims::HomeEvent) {
        for action in self.vms[vm].home.handle(self.now_ms, event) {
            match action {
                claims::HomeAction::HandOver { mut batch, witness } => {
                    if self.mutant == Some(mutant::Mutant::HandOverCloses) {
                        batch
                            .entries
                            .iter_mut()
                            .for_each(|entry| entry.outcome = claims::KeyOutcome::Closed);
                    }
                    let to = self.index_of(witness);
                    self.send(vm, to, message::Message::HandOver { batch });
                }
                claims::HomeAction::Reply { attempt_id, reply } => {
                    self.handle_home_reply(vm, attempt_id, reply);
                }
                claims::HomeAction::Run { attempt_id, key } => self.run(vm, attempt_id, key),
                claims::HomeAction::SendClaim { claim, witness } => {
                    let to = self.index_of(witness);
                    self.vms[vm].pending_claims.insert(claim.key.clone(), 0);
                    self.send(vm, to, message::Message::Claim { claim });
                }
            }
        }
    }

    fn run(&mut self, vm: usize, attempt_id: u64, key: claims::ClaimKey) {
        let fingerprint = self.vms[vm]
            .fingerprints
            .swap_remove(&attempt_id)
            .unwrap_or(0);
        self.vms[vm].pending_claims.swap_remove(&key);
        self.ledger.record_run(&key, fingerprint);
        self.vms[vm].runs.push(key);
        if let Some((to, entry_attempt_id)) = self.vms[vm].origins.swap_remove(&attempt_id) {
            let reply = claims::EntryHomeReply::AnswerStreaming;
            self.send(
                vm,
                to,
                message::Message::HomeReply {
                    entry_attempt_id,
                    reply,
                },
            );
        } else {
            self.ledger.record_streaming(attempt_id);
        }
    }

    fn handle_home_reply(&mut self, vm: usize, attempt_id: u64, reply: claims::HomeReply) {
        self.vms[vm].fingerprints.swap_remove(&attempt_id);
        if let Some((to, entry_attempt_id)) = self.vms[vm].origins.swap_remove(&attempt_id) {
            let reply = reply.into();
            self.send(
                vm,
                to,
                message::Message::HomeReply {
                    entry_attempt_id,
                    reply,
                },
            );
            return;
        }
        match reply {
            claims::HomeReply::Answer(response) => {
                self.ledger.record_response(attempt_id, &response);
            }
            claims::HomeReply::Refused(refusal) => self.ledger.record_refusal(attempt_id, &refusal),
            // The VM of the caller has restarted. The production driver would
            // send a seal to the witness.
            claims::HomeReply::AskWitness => self.ledger.forget_attempt(attempt_id),
        }
    }

    pub fn at_witness(
        &mut self,
        vm: usize,
        event: claims::WitnessEvent,
        requester: Option<&(usize, claims::ClaimKey)>,
    ) {
        for action in self.vms[vm].witness.handle(self.now_ms, event) {
            let (to, key) = requester.cloned().expect("a reply must have a requester");
            match action {
                claims::WitnessAction::ReplyClaim { reply, .. } => {
                    self.send(vm, to, message::Message::ClaimReply { key, reply });
                }
                claims::WitnessAction::ReplySeal { message_id, reply } => {
                    let runs = self.mutant == Some(mutant::Mutant::WitnessRuns);
                    if reply == claims::SealReply::NotRun && runs {
                        self.ledger.record_run(&key, 0);
                    }
                    let entry_attempt_id = message_id;
                    self.send(
                        vm,
                        to,
                        message::Message::SealReply {
                            entry_attempt_id,
                            reply,
                        },
                    );
                }
            }
        }
    }

    pub fn at_entry(&mut self, vm: usize, event: claims::EntryEvent) {
        for action in self.vms[vm].entry.handle(self.now_ms, event) {
            match action {
                claims::EntryAction::ForwardToHome { attempt_id, key } => {
                    let to = self.index_of(key.prefix.home);
                    let fingerprint = self.vms[vm].entry_fingerprints[&attempt_id];
                    let message = message::Message::ForwardToHome {
                        deadline_ms: self.now_ms + 200,
                        entry_attempt_id: attempt_id,
                        fingerprint,
                        key,
                    };
                    self.send(vm, to, message);
                }
                claims::EntryAction::Seal {
                    attempt_id,
                    seal,
                    witness,
                } => {
                    let to = self.index_of(witness);
                    let entry_attempt_id = attempt_id;
                    self.send(
                        vm,
                        to,
                        message::Message::Seal {
                            entry_attempt_id,
                            seal,
                        },
                    );
                }
                claims::EntryAction::Reply { attempt_id, reply } => {
                    self.handle_entry_reply(vm, attempt_id, reply);
                }
            }
        }
    }

    fn handle_entry_reply(&mut self, vm: usize, attempt_id: u64, reply: claims::EntryReply) {
        self.vms[vm].entry_fingerprints.swap_remove(&attempt_id);
        match reply {
            claims::EntryReply::Answer(response) => {
                self.ledger.record_response(attempt_id, &response);
            }
            claims::EntryReply::Refused(mut refusal) => {
                if self.mutant == Some(mutant::Mutant::EntryRefuses) {
                    refusal.verdict = verdict::RunVerdict::NotRun;
                }
                self.ledger.record_refusal(attempt_id, &refusal);
            }
        }
    }
}
