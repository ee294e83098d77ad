//! Reason why a batch from a peer was refused.

use crate::config_fold;

/// Reason why a batch from a peer was refused. The configuration state is
/// unchanged.
#[derive(Clone, Debug, Eq, PartialEq, snafu::Snafu)]
#[snafu(visibility(pub(super)))]
pub enum BatchError {
    /// The checkpoint was refused.
    #[snafu(display("checkpoint refused: {source}"))]
    Checkpoint {
        /// Reason of the refusal.
        source: config_fold::SnapshotError,
    },
    /// The batch continues a different history.
    #[snafu(display("the batch conflicts with the local history at offset {offset}"))]
    Conflict {
        /// First offset at which the digests differ.
        offset: u64,
    },
    /// The batch has a gap between its records, or to the applied records.
    #[snafu(display("the batch is not contiguous: expected offset {expected}, found {found}"))]
    NotContiguous {
        /// Offset that should follow.
        expected: u64,
        /// Offset in the batch.
        found: u64,
    },
}
