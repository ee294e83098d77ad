//! The mutable part of a member's record.

use std::net;

use xxhash_rust::xxh3;

use crate::membership;

/// Mutable part of a member's record.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct MemberStamp {
    /// Peer address, which identifies the member.
    pub address: net::SocketAddr,
    /// Number that grows with every start of the daemon at this address.
    pub incarnation: u64,
    /// State of the member.
    pub state: membership::MemberState,
    /// Version of the state; only the member itself raises it.
    pub version: u64,
}

impl MemberStamp {
    /// Estimated size of a stamp in a message.
    pub const SIZE_BYTES: usize = 30;

    /// Returns whether this stamp replaces `other` of the same member.
    #[must_use]
    pub fn is_newer_than(&self, other: &Self) -> bool {
        self.rank() > other.rank()
    }

    /// Returns a hash over all fields, the same on every VM.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let mut hash = xxh3::Xxh3::new();
        hash.update(&address_digest(self.address).to_le_bytes());
        hash.update(&self.incarnation.to_le_bytes());
        hash.update(&self.version.to_le_bytes());
        hash.update(&[self.state as u8]);
        hash.digest()
    }

    const fn rank(&self) -> (u64, u64, membership::MemberState) {
        (self.incarnation, self.version, self.state)
    }
}

/// Returns a hash of the address, the same on every VM.
pub fn address_digest(address: net::SocketAddr) -> u64 {
    let seed = u64::from(address.port());
    match address.ip() {
        net::IpAddr::V4(ip) => xxh3::xxh3_64_with_seed(&ip.octets(), seed),
        net::IpAddr::V6(ip) => xxh3::xxh3_64_with_seed(&ip.octets(), seed),
    }
}
