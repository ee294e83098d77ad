//! Input events of the entry.

use crate::claims;

/// Input event of [`claims::Entry`], about an attempt whose home is another VM.
#[derive(Clone, Debug)]
pub enum EntryEvent {
    /// The home could not be reached, or the connection to it was lost.
    HomeFailed {
        /// Id of the attempt.
        attempt_id: u64,
    },
    /// The home replied.
    HomeReplied {
        /// Id of the attempt.
        attempt_id: u64,
        /// Reply of the home.
        reply: claims::EntryHomeReply,
    },
    /// An attempt was received.
    Request {
        /// Id of the attempt, which is never reused.
        attempt_id: u64,
        /// Time by which the entry must reply, on the local clock.
        deadline_ms: u64,
        /// Fingerprint of method, path, organisation and body; of a streamed body,
        /// only the stated length is included.
        fingerprint: u64,
        /// Key of the attempt.
        key: claims::ClaimKey,
    },
    /// The witness could not be reached, or the connection to it was lost.
    SealFailed {
        /// Id of the attempt.
        attempt_id: u64,
    },
    /// The witness replied.
    SealReplied {
        /// Id of the attempt.
        attempt_id: u64,
        /// Reply of the witness.
        reply: claims::SealReply,
    },
    /// Time has passed.
    Tick,
}
