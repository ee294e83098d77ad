//! What the entry core asks its shell to do.

use crate::claims;

/// What the entry core asks its shell to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EntryAction {
    /// Pass the request on to the home that the key names.
    ForwardToHome {
        /// The attempt.
        attempt_id: u64,
        /// Its key.
        key: claims::ClaimKey,
    },
    /// Answer the caller.
    Reply {
        /// The attempt.
        attempt_id: u64,
        /// What to say.
        reply: claims::EntryReply,
    },
    /// Ask the witness to seal the key.
    Seal {
        /// The attempt.
        attempt_id: u64,
        /// The seal.
        seal: claims::Seal,
        /// Where to send it.
        witness: claims::VmIdentity,
    },
}
