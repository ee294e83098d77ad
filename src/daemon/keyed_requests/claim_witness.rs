//! Driver of the witness's state machine for keyed requests.

use std::sync;

use crate::claims;
use crate::configs;
use crate::context;
use crate::state_machine::StateMachine as _;

/// Store of the keys whose witness is this entry VM.
pub struct ClaimWitness {
    clock: sync::Arc<dyn context::Clock>,
    witness: sync::Mutex<claims::Witness>,
}

impl ClaimWitness {
    /// Creates a witness without keys.
    #[must_use]
    pub fn new(
        configs: &configs::DaemonConfig,
        context: &context::Context,
        identity: claims::VmIdentity,
    ) -> Self {
        Self {
            clock: sync::Arc::clone(&context.clock),
            witness: sync::Mutex::new(claims::Witness::new(&configs.claims, identity)),
        }
    }

    /// Records a claim. Without a decision of the state machine, the claim is
    /// denied.
    pub fn claim(&self, claim: claims::Claim) -> claims::ClaimReply {
        let event = claims::WitnessEvent::Claim {
            claim,
            message_id: 0,
        };
        let reply = self
            .handle_event(event)
            .into_iter()
            .find_map(|action| match action {
                claims::WitnessAction::ReplyClaim { reply, .. } => Some(reply),
                claims::WitnessAction::ReplySeal { .. } => None,
            });
        reply.unwrap_or(claims::ClaimReply::Denied)
    }

    /// Seals a key. Without a decision of the state machine, the key may have
    /// run.
    pub fn seal(&self, seal: claims::Seal) -> claims::SealReply {
        let event = claims::WitnessEvent::Seal {
            message_id: 0,
            seal,
        };
        let reply = self
            .handle_event(event)
            .into_iter()
            .find_map(|action| match action {
                claims::WitnessAction::ReplySeal { reply, .. } => Some(reply),
                claims::WitnessAction::ReplyClaim { .. } => None,
            });
        reply.unwrap_or(claims::SealReply::MayHaveRun)
    }

    /// Stores the keys of a home that is leaving.
    pub fn hand_over(&self, batch: claims::HandOverBatch) {
        self.handle_event(claims::WitnessEvent::HandOver { batch });
    }

    /// Handles the expiry of keys.
    pub fn tick(&self) {
        self.handle_event(claims::WitnessEvent::Tick);
    }

    fn handle_event(&self, event: claims::WitnessEvent) -> Vec<claims::WitnessAction> {
        let now_ms = self.clock.now_ms();
        self.witness
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
            .handle(now_ms, event)
    }
}
