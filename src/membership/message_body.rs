//! What a message is about.

use std::net;

use crate::membership;

/// What a message is about.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum MessageBody {
    /// Answers a ping.
    Ack {
        /// Digests of the sender's buckets, if the ping's digest differed.
        bucket_digests: Vec<u16>,
        /// Names the ping.
        seq: u64,
        /// Whether the sender lacks the receiver's record.
        wants_record: bool,
    },
    /// Gives records that were asked for, or one's own.
    Members {
        /// The records.
        members: Vec<membership::Member>,
    },
    /// Asks for an ack.
    Ping {
        /// Digest of all that the sender knows, if it wants to compare.
        digest: Option<u64>,
        /// Names the ping.
        seq: u64,
    },
    /// Asks the receiver to ping the target.
    PingRequest {
        /// Names the probe of the requester.
        seq: u64,
        /// Whom to ping.
        target: net::SocketAddr,
    },
    /// Says that the target answered the receiver's ping request.
    PingRequestAck {
        /// Names the probe of the requester.
        seq: u64,
    },
    /// Gives the stamps of buckets whose digests differ.
    Repair {
        /// The buckets.
        buckets: Vec<u16>,
        /// All stamps that the sender has in them.
        stamps: Vec<membership::MemberStamp>,
    },
    /// Answers a repair.
    RepairReply {
        /// Records that the requester lacks or has older.
        members: Vec<membership::Member>,
        /// Members whose records the sender lacks.
        wanted: Vec<net::SocketAddr>,
    },
    /// Gives the state to a joining VM.
    Sync {
        /// Records of whole buckets.
        members: Vec<membership::Member>,
        /// Where to go on; nothing at the end.
        next_bucket: Option<u16>,
    },
    /// Asks for the state from a bucket on.
    SyncRequest {
        /// The bucket.
        first_bucket: u16,
    },
}
