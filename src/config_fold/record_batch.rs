//! Records or a checkpoint that a VM sends to a peer.

use crate::config_fold;

/// Response of a VM to a peer that requested the records from an offset.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct RecordBatch {
    /// Records, or a checkpoint that replaces them.
    pub content: BatchContent,
    /// Next offset of the sender.
    pub next_offset: u64,
}

/// Records, or a checkpoint that replaces them.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum BatchContent {
    /// State of the sender, which no longer has, or never had, the requested
    /// records.
    Checkpoint(Box<config_fold::FoldState>),
    /// Consecutive records from the requested offset.
    Records {
        /// Hash-chain digest of the sender's history before `first_offset`.
        chain_digest_before: String,
        /// Offset of the first record, or the sender's next offset if `records` is
        /// empty.
        first_offset: u64,
        /// Records in offset order. Empty if the sender has none from the requested
        /// offset.
        records: Vec<config_fold::LogRecord>,
    },
}
