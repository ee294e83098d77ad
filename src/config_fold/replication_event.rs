//! Input event of the replicator.

use crate::config_fold;
use crate::log_client;

/// Input event of the replicator.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicationEvent {
    /// The log responded to a read.
    LogBatch(log_client::LogBatch),
    /// A read of the log failed.
    LogReadFailed,
    /// The list of VMs changed. It contains those that are assumed to be alive and
    /// not leaving.
    MembershipChanged(Vec<config_fold::ReplicationMember>),
    /// A peer responded to a pull.
    PeerBatch {
        /// Records or checkpoint from the peer.
        batch: config_fold::RecordBatch,
        /// Id of the peer.
        peer: String,
    },
    /// A pull failed.
    PullFailed {
        /// Id of the peer.
        peer: String,
    },
    /// A peer sent its next offset.
    PeerOffsetReceived {
        /// Next offset of the peer.
        next_offset: u64,
        /// Id of the peer.
        peer: String,
    },
    /// Time has passed.
    Tick,
}
