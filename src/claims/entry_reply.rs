//! The reply of an entry VM to its caller.

use crate::claims;
use crate::verdict;

/// Reply of an entry VM to its caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EntryReply {
    /// Response of the only run of the key.
    Answer(claims::StoredResponse),
    /// Final refusal.
    Refused(verdict::Refusal),
}
