//! Payloads of membership messages.

use std::net;

use crate::membership;

/// Payload of a membership message.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum MessageBody {
    /// Acknowledges a ping.
    Ack {
        /// Digests of the sender's buckets if the digest of the ping differed,
        /// empty otherwise.
        bucket_digests: Vec<u16>,
        /// Sequence number of the ping.
        seq: u64,
        /// Whether the sender has no record of the receiver.
        wants_record: bool,
    },
    /// Sends requested records, or the sender's own record.
    Members {
        /// Records of members.
        members: Vec<membership::Member>,
    },
    /// Requests an acknowledgement.
    Ping {
        /// Digest of all members that the sender knows, if it starts a
        /// comparison of state.
        digest: Option<u64>,
        /// Sequence number of the ping.
        seq: u64,
    },
    /// Requests that the receiver pings the target.
    PingRequest {
        /// Sequence number of the probe at the requester.
        seq: u64,
        /// Address of the member to ping.
        target: net::SocketAddr,
    },
    /// Reports that the target of a ping request acknowledged the ping.
    PingRequestAck {
        /// Sequence number of the probe at the requester.
        seq: u64,
    },
    /// Sends the stamps of all members in the buckets whose digests differ.
    Repair {
        /// Indexes of the buckets.
        buckets: Vec<u16>,
        /// Stamps of the sender's members in these buckets.
        stamps: Vec<membership::MemberStamp>,
    },
    /// Replies to a repair.
    RepairReply {
        /// Records that the receiver lacks or has in an older version.
        members: Vec<membership::Member>,
        /// Addresses of members whose records the sender needs.
        wanted: Vec<net::SocketAddr>,
    },
    /// Sends part of the member table to a joining VM.
    Sync {
        /// Records of one or more complete buckets.
        members: Vec<membership::Member>,
        /// First bucket that is still to be fetched; `None` after the last one.
        next_bucket: Option<u16>,
    },
    /// Requests the member table from a bucket on.
    SyncRequest {
        /// Index of the first bucket.
        first_bucket: u16,
    },
}
