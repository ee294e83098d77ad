//! Result of applying a record or checkpoint.

use crate::config_fold;

/// Result of applying a record or checkpoint.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case", tag = "event")]
pub enum FoldEvent {
    /// A bundle came into force.
    BundleInForce {
        /// Offset of the roll-out.
        offset: u64,
        /// Version of the bundle.
        version: String,
    },
    /// A valid bundle was proposed.
    BundleProposed {
        /// Offset of the proposal.
        offset: u64,
        /// Version of the bundle.
        version: String,
    },
    /// A bundle was signed off.
    BundleSignedOff {
        /// Operator who signed it off.
        operator: String,
        /// Version of the bundle.
        version: String,
    },
    /// The state of a checkpoint replaced the older state of this VM.
    CheckpointAdopted {
        /// Offset of the last record that the checkpoint covers.
        covers_offset: u64,
    },
    /// A checkpoint beyond a gap was refused.
    CheckpointRefused {
        /// Offset of the checkpoint.
        offset: u64,
        /// Error message.
        reason: String,
    },
    /// A checkpoint record was applied. It does not change the configuration, but
    /// the records that it covers may expire.
    CheckpointTaken {
        /// Offset of the last record that the checkpoint covers.
        covers_offset: u64,
        /// Offset of the checkpoint.
        offset: u64,
    },
    /// A record with the same id was applied before at another offset.
    #[serde(rename = "double-dropped")]
    DuplicateDropped {
        /// Offset of the duplicate.
        offset: u64,
        /// Id of the record.
        record_id: String,
    },
    /// Records are missing and no checkpoint covers them yet. The bundle in force
    /// is unchanged.
    GapFound {
        /// Offset of the first missing record.
        expected_offset: u64,
        /// Offset of the received record.
        found_offset: u64,
    },
    /// A record differs from the one applied at the same offset.
    HistoryConflict {
        /// Offset of the record.
        offset: u64,
    },
    /// A lease was taken or renewed.
    LeaseTaken {
        /// Duration of the lease, in milliseconds.
        duration_ms: u64,
        /// Holder of the lease: the VM with its incarnation.
        holder: String,
        /// Name of the lease.
        name: String,
        /// Term of the lease.
        term: u64,
    },
    /// A record at this offset was applied before, or the offset is invalid.
    OffsetIgnored {
        /// Offset of the record.
        offset: u64,
    },
    /// The body could not be parsed as a record.
    RecordSkipped {
        /// Offset of the record.
        offset: u64,
        /// Error message.
        reason: String,
    },
    /// A rehearsal was ended early.
    RehearsalEnded {
        /// Id of the rehearsal.
        rehearsal_id: String,
    },
    /// A rehearsal was scheduled.
    RehearsalScheduled {
        /// Id of the rehearsal.
        rehearsal_id: String,
    },
    /// The record was rejected and has no effect.
    Rejected {
        /// Offset of the record.
        offset: u64,
        /// Reason of the rejection.
        reason: config_fold::Rejection,
        /// Id of the record.
        record_id: String,
    },
}
