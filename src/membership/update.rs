//! A change of a member, piggybacked on messages.

use std::net;

use crate::membership;

/// Change of a member, piggybacked on messages.
#[derive(Clone, Debug, Eq, Hash, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum Update {
    /// Full record of a member that the receiver may not know yet.
    Joined(membership::Member),
    /// New stamp of a member whose record the receiver should have.
    Changed(membership::MemberStamp),
}

/// Estimated size of the tag that names the variant in a message.
const KIND_BYTES: usize = 4;

impl Update {
    /// Returns the address of the changed member.
    #[must_use]
    pub const fn address(&self) -> net::SocketAddr {
        match self {
            Self::Joined(member) => member.address,
            Self::Changed(stamp) => stamp.address,
        }
    }

    /// Returns the estimated size of the update in a message.
    #[must_use]
    pub const fn size_bytes(&self) -> usize {
        let content_bytes = match self {
            Self::Joined(member) => member.size_bytes(),
            Self::Changed(_) => membership::MemberStamp::SIZE_BYTES,
        };
        KIND_BYTES + content_bytes
    }
}
