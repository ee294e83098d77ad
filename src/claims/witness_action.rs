//! Output actions of the witness.

use crate::claims;

/// Output action of [`claims::Witness`], carried out by its driver.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WitnessAction {
    /// Reply to a claim.
    ReplyClaim {
        /// Id of the message to reply to.
        message_id: u64,
        /// Reply to send.
        reply: claims::ClaimReply,
    },
    /// Reply to a seal.
    ReplySeal {
        /// Id of the message to reply to.
        message_id: u64,
        /// Reply to send.
        reply: claims::SealReply,
    },
}
