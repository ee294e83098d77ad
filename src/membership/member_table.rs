//! The table of the other members, with the indexes that gossip needs.

use std::net;

use rand::Rng as _;

use crate::membership;
use crate::membership::member_stamp;

/// Number of buckets by which VMs compare their tables, the same on every VM.
pub const BUCKET_COUNT: u16 = 128;

/// Table of all members except this VM, indexed by address and by bucket,
/// with dead members apart from live ones.
pub struct MemberTable {
    buckets: Vec<Bucket>,
    dead: indexmap::IndexSet<net::SocketAddr>,
    live: indexmap::IndexSet<net::SocketAddr>,
    members: indexmap::IndexMap<net::SocketAddr, membership::Member>,
}

#[derive(Clone, Default)]
struct Bucket {
    addresses: indexmap::IndexSet<net::SocketAddr>,
    digest: u64,
}

impl MemberTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self {
            buckets: vec![Bucket::default(); usize::from(BUCKET_COUNT)],
            dead: indexmap::IndexSet::new(),
            live: indexmap::IndexSet::new(),
            members: indexmap::IndexMap::new(),
        }
    }

    /// Returns the digests of all buckets, including this VM by its stamp.
    pub fn bucket_digests(&self, own_stamp: &membership::MemberStamp) -> Vec<u16> {
        let own_bucket = bucket_of(own_stamp.address);
        let digests = (0..BUCKET_COUNT).zip(&self.buckets).map(|(index, bucket)| {
            let own_digest = if index == own_bucket {
                own_stamp.digest()
            } else {
                0
            };
            (bucket.digest ^ own_digest).to_le_bytes()
        });
        digests
            .map(|bytes| u16::from_le_bytes([bytes[0], bytes[1]]))
            .collect()
    }

    /// Returns the members of a bucket.
    pub fn bucket(&self, bucket: u16) -> impl Iterator<Item = &membership::Member> {
        let bucket = self.buckets.get(usize::from(bucket));
        let addresses = bucket.into_iter().flat_map(|bucket| &bucket.addresses);
        addresses.filter_map(|address| self.members.get(address))
    }

    /// Returns the digest of all members, including this VM by its stamp.
    pub fn digest(&self, own_stamp: &membership::MemberStamp) -> u64 {
        let members = self.buckets.iter().map(|bucket| bucket.digest);
        members.fold(own_stamp.digest(), |all, digest| all ^ digest)
    }

    /// Returns whether the table has no member.
    pub fn is_empty(&self) -> bool {
        self.iter().next().is_none()
    }

    pub fn get(&self, address: net::SocketAddr) -> Option<&membership::Member> {
        self.members.get(&address)
    }

    pub fn iter(&self) -> impl Iterator<Item = &membership::Member> {
        self.members.values()
    }

    /// Returns a random dead member.
    pub fn random_dead(&self, rng: &mut rand::rngs::SmallRng) -> Option<net::SocketAddr> {
        pick(&self.dead, rng)
    }

    /// Returns a random member that is not dead.
    pub fn random_live(&self, rng: &mut rand::rngs::SmallRng) -> Option<net::SocketAddr> {
        pick(&self.live, rng)
    }

    /// Removes a member.
    pub fn remove(&mut self, address: net::SocketAddr) {
        let Some(member) = self.members.swap_remove(&address) else {
            return;
        };
        let bucket = &mut self.buckets[usize::from(bucket_of(address))];
        bucket.addresses.swap_remove(&address);
        bucket.digest ^= counted_digest(&member);
        self.dead.swap_remove(&address);
        self.live.swap_remove(&address);
    }

    /// Inserts or replaces the record of a member.
    pub fn set(&mut self, member: membership::Member) {
        let address = member.address;
        self.remove(address);
        let bucket = &mut self.buckets[usize::from(bucket_of(address))];
        bucket.addresses.insert(address);
        bucket.digest ^= counted_digest(&member);
        if member.state == membership::MemberState::Dead {
            self.dead.insert(address);
        } else {
            self.live.insert(address);
        }
        self.members.insert(address, member);
    }
}

/// Returns the part of a member in the digest of its bucket: 0 for a dead
/// member, because each VM removes dead members at a different time.
fn counted_digest(member: &membership::Member) -> u64 {
    match member.state {
        membership::MemberState::Dead => 0,
        _ => member.stamp().digest(),
    }
}

/// Returns the index of the bucket of a member.
pub fn bucket_of(address: net::SocketAddr) -> u16 {
    let bucket = member_stamp::address_digest(address) % u64::from(BUCKET_COUNT);
    u16::try_from(bucket).unwrap_or_default()
}

fn pick(
    addresses: &indexmap::IndexSet<net::SocketAddr>,
    rng: &mut rand::rngs::SmallRng,
) -> Option<net::SocketAddr> {
    if addresses.is_empty() {
        return None;
    }
    let index = rng.random_range(0..addresses.len());
    addresses.get_index(index).copied()
}
