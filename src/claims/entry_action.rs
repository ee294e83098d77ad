//! Output actions of the entry.

use crate::claims;

/// Output action of [`claims::Entry`], carried out by its driver.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EntryAction {
    /// Forward the request to the home that the key names.
    ForwardToHome {
        /// Id of the attempt.
        attempt_id: u64,
        /// Key of the attempt.
        key: claims::ClaimKey,
    },
    /// Reply to the caller.
    Reply {
        /// Id of the attempt.
        attempt_id: u64,
        /// Reply to send.
        reply: claims::EntryReply,
    },
    /// Send a seal to the witness.
    Seal {
        /// Id of the attempt.
        attempt_id: u64,
        /// Seal to send.
        seal: claims::Seal,
        /// Receiver of the seal.
        witness: claims::VmIdentity,
    },
}
