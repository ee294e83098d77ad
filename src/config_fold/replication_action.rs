//! What the spread of configuration asks for.

use crate::config_fold;

/// What the spread of configuration asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReplicationAction {
    /// Tell these peers how far this VM has folded. Saves time, but nothing
    /// depends on its arrival.
    AnnounceOffset {
        /// This VM's next offset.
        next_offset: u64,
        /// Ids of the peers.
        peers: Vec<String>,
    },
    /// Report that a peer's batch was refused.
    BatchRefused {
        /// Why.
        error: config_fold::BatchError,
        /// Id of the peer.
        peer: String,
    },
    /// Report what the fold has done.
    Folded(config_fold::FoldEvent),
    /// Report that the log ends before what this VM has folded.
    LogBehind {
        /// Where the log ends.
        next_offset: u64,
    },
    /// Ask a peer for records.
    PullFromPeer {
        /// First wanted offset.
        from: u64,
        /// Largest batch in bytes.
        limit_bytes: usize,
        /// Id of the peer.
        peer: String,
    },
    /// Read the configuration stream.
    ReadLog {
        /// First wanted offset.
        from: u64,
        /// Largest number of records.
        max_count: usize,
    },
    /// Begin to serve. Comes once.
    Ready,
}
