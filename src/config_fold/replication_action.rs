//! Action that the replicator requests from its driver.

use crate::config_fold;

/// Action that the replicator requests from its driver.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReplicationAction {
    /// Announce the next offset of this VM to these peers. This only speeds up
    /// replication, so the message may be lost.
    AnnounceOffset {
        /// Next offset of this VM.
        next_offset: u64,
        /// Ids of the peers.
        peers: Vec<String>,
    },
    /// Report that a peer's batch was refused.
    BatchRefused {
        /// Reason of the refusal.
        error: config_fold::BatchError,
        /// Id of the peer.
        peer: String,
    },
    /// Report the result of applying a record or checkpoint.
    Folded(config_fold::FoldEvent),
    /// Report that the log ends before the last record that this VM has applied.
    LogBehind {
        /// Next offset of the log.
        next_offset: u64,
    },
    /// Pull records from a peer.
    PullFromPeer {
        /// First requested offset.
        from: u64,
        /// Largest size of the batch, in bytes.
        limit_bytes: usize,
        /// Id of the peer.
        peer: String,
    },
    /// Read the configuration stream.
    ReadLog {
        /// First requested offset.
        from: u64,
        /// Largest number of records.
        max_count: usize,
    },
    /// Begin to serve. Requested once.
    Ready,
}
