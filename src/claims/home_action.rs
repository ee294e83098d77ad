//! Output actions of the home.

use crate::claims;

/// Output action of [`claims::Home`], carried out by its driver.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HomeAction {
    /// Send a batch to a witness. No acknowledgement is expected.
    HandOver {
        /// Keys to hand over.
        batch: claims::HandOverBatch,
        /// Receiver of the batch.
        witness: claims::VmIdentity,
    },
    /// Reply to an attempt.
    Reply {
        /// Id of the attempt.
        attempt_id: u64,
        /// Reply to send.
        reply: claims::HomeReply,
    },
    /// Run the request of an attempt, then report
    /// [`claims::HomeEvent::Finished`]. Occurs at most once per key. The driver
    /// replies to this attempt itself: no `Reply` follows for it.
    Run {
        /// Id of the attempt whose request is run.
        attempt_id: u64,
        /// Key of the attempt.
        key: claims::ClaimKey,
    },
    /// Send a claim to the witness.
    SendClaim {
        /// Claim to send.
        claim: claims::Claim,
        /// Receiver of the claim.
        witness: claims::VmIdentity,
    },
}
