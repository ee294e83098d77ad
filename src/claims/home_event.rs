//! Input events of the home.

use crate::claims;
use crate::verdict;

/// Input event of [`claims::Home`].
#[derive(Clone, Debug)]
pub enum HomeEvent {
    /// The caller of an attempt has disconnected.
    Cancelled {
        /// Id of the attempt.
        attempt_id: u64,
    },
    /// The witness replied to a claim.
    Claimed {
        /// Claimed key.
        key: claims::ClaimKey,
        /// Reply of the witness.
        reply: claims::ClaimReply,
    },
    /// The run of a key has finished.
    Finished {
        /// Key that was run.
        key: claims::ClaimKey,
        /// Outcome of the run.
        outcome: claims::RunOutcome,
    },
    /// This VM leaves: send no new claims and hand the keys over.
    Leave,
    /// The VM refuses a request before its key is claimed, for instance because
    /// of overload. The home closes the key first.
    Refuse {
        /// Id of the attempt to reply to.
        attempt_id: u64,
        /// Key of the attempt.
        key: claims::ClaimKey,
        /// Refusal to reply with if the key did not run.
        refusal: verdict::Refusal,
    },
    /// An attempt of a request was received.
    Request {
        /// Id of the attempt, which is never reused.
        attempt_id: u64,
        /// Time by which the home must reply, on the local clock.
        deadline_ms: u64,
        /// Fingerprint of method, path, organisation and body; of a streamed body,
        /// only the stated length is included.
        fingerprint: u64,
        /// Key of the attempt.
        key: claims::ClaimKey,
    },
    /// Time has passed.
    Tick,
}
