//! Input events of the witness.

use crate::claims;

/// Input event of [`claims::Witness`].
#[derive(Clone, Debug)]
pub enum WitnessEvent {
    /// A home requests to run a key.
    Claim {
        /// Received claim.
        claim: claims::Claim,
        /// Id of the message to reply to.
        message_id: u64,
    },
    /// A leaving home hands over keys.
    HandOver {
        /// Keys with their final outcomes.
        batch: claims::HandOverBatch,
    },
    /// An entry VM requests to seal a key.
    Seal {
        /// Id of the message to reply to.
        message_id: u64,
        /// Received seal.
        seal: claims::Seal,
    },
    /// Time has passed.
    Tick,
}
