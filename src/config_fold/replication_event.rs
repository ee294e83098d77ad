//! What the spread of configuration learns.

use crate::config_fold;
use crate::log_client;

/// What the spread of configuration learns.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicationEvent {
    /// The log answered a read.
    LogBatch(log_client::LogBatch),
    /// A read of the log failed.
    LogReadFailed,
    /// The VMs that are taken to be up and not leaving.
    MembershipChanged(Vec<config_fold::ReplicationMember>),
    /// A peer answered a pull.
    PeerBatch {
        /// What it handed out.
        batch: config_fold::RecordBatch,
        /// Id of the peer.
        peer: String,
    },
    /// A pull failed.
    PullFailed {
        /// Id of the peer.
        peer: String,
    },
    /// A peer showed how far it has folded.
    PeerOffsetReceived {
        /// Its next offset.
        next_offset: u64,
        /// Id of the peer.
        peer: String,
    },
    /// Time has passed.
    Tick,
}
