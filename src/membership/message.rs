//! The membership message between two VMs.

use crate::membership;

/// Membership message between two VMs.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Message {
    /// Payload.
    pub body: membership::MessageBody,
    /// First configuration offset that the sender has not folded yet.
    pub configuration_next_offset: u64,
    /// Piggybacked updates, up to the configured limit in bytes.
    pub updates: Vec<membership::Update>,
}

/// Size of an empty message, including its length prefix.
const FIXED_BYTES: usize = 40;
const ADDRESS_BYTES: usize = 10;

impl Message {
    /// Returns an estimate of the message size, without transport headers.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        let updates: usize = self
            .updates
            .iter()
            .map(membership::Update::size_bytes)
            .sum();
        FIXED_BYTES + updates + self.body_bytes()
    }

    fn body_bytes(&self) -> usize {
        match &self.body {
            membership::MessageBody::Ack { bucket_digests, .. } => 2 * bucket_digests.len(),
            membership::MessageBody::Members { members }
            | membership::MessageBody::Sync { members, .. } => members_bytes(members),
            membership::MessageBody::Repair { buckets, stamps } => {
                2 * buckets.len() + membership::MemberStamp::SIZE_BYTES * stamps.len()
            }
            membership::MessageBody::RepairReply { members, wanted } => {
                members_bytes(members) + ADDRESS_BYTES * wanted.len()
            }
            membership::MessageBody::PingRequest { .. } => ADDRESS_BYTES,
            membership::MessageBody::Ping { .. }
            | membership::MessageBody::PingRequestAck { .. }
            | membership::MessageBody::SyncRequest { .. } => 0,
        }
    }
}

fn members_bytes(members: &[membership::Member]) -> usize {
    members.iter().map(membership::Member::size_bytes).sum()
}
