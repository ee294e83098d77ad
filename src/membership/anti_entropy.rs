//! Transfer of the member table to a joining VM, and repair of lost updates.

use std::net;

use rand::Rng as _;

use crate::membership;
use crate::membership::member_table;
use crate::membership::membership_core;

/// Number of comparisons with a random member right after the start.
const START_COMPARISON_COUNT: u32 = 16;
/// Time between two comparisons right after the start, in milliseconds.
const START_COMPARISON_INTERVAL_MS: u64 = 250;
/// Share of the occupied buckets that differ in two lists from which on the
/// complete list is transferred, as a divisor.
const FAR_APART_DIVISOR: usize = 4;
/// Minimum number of buckets that differ in lists that are far apart.
const MIN_FAR_APART_BUCKETS: usize = 4;

/// Returns whether two lists differ by so much that a repair, which transfers a few
/// records, takes many rounds.
///
/// Load pattern: all VMs of a large fleet start at the same time and know only a few
/// seeds. Each of them joins while the seeds themselves know few others.
fn is_far_apart(own_digests: &[u16], peer_digests: &[u16]) -> bool {
    let pairs = own_digests.iter().zip(peer_digests);
    let occupied = pairs
        .clone()
        .filter(|(own, peer)| **own != 0 || **peer != 0);
    let differing = pairs.filter(|(own, peer)| own != peer).count();
    differing >= MIN_FAR_APART_BUCKETS && differing * FAR_APART_DIVISOR > occupied.count()
}

impl membership_core::Membership {
    /// Requests the missing part of the member table from a random member.
    pub(super) fn continue_sync(&mut self) {
        if let Some(first_bucket) = self.sync_next_bucket
            && let Some(peer) = self.table.random_live(&mut self.rng)
        {
            let body = membership::MessageBody::SyncRequest { first_bucket };
            self.send_with(peer, body, Vec::new());
        }
    }

    /// Compares the member list with a random member if a comparison after the start
    /// is due.
    pub(super) fn compare_after_start(&mut self) {
        if self.start_comparison_count >= START_COMPARISON_COUNT
            || self.start_comparison_due_ms > self.now_ms
        {
            return;
        }
        if let Some(peer) = self.table.random_live(&mut self.rng) {
            self.start_comparison_count += 1;
            let digest = self.table.digest(&self.own_member.stamp());
            self.ping(peer, Some(digest));
        }
        self.start_comparison_due_ms = self.now_ms + START_COMPARISON_INTERVAL_MS;
    }

    /// Returns when the next comparison after the start is due; `None` after the last
    /// one.
    pub(super) fn next_start_comparison_ms(&self) -> Option<u64> {
        (self.start_comparison_count < START_COMPARISON_COUNT)
            .then_some(self.start_comparison_due_ms)
    }

    pub(super) fn handle_sync_request(&mut self, from: net::SocketAddr, first_bucket: u16) {
        let mut members = vec![self.own_member.clone()];
        let mut remaining_bytes = self.config.sync_limit_bytes;
        let mut next_bucket = None;
        for bucket in first_bucket..member_table::BUCKET_COUNT {
            if remaining_bytes == 0 {
                next_bucket = Some(bucket);
                break;
            }
            for member in self.table.bucket(bucket) {
                if member.state != membership::MemberState::Dead {
                    remaining_bytes = remaining_bytes.saturating_sub(member.size_bytes());
                    members.push(member.clone());
                }
            }
        }
        let body = membership::MessageBody::Sync {
            members,
            next_bucket,
        };
        self.send_with(from, body, Vec::new());
    }

    pub(super) fn handle_sync(
        &mut self,
        from: net::SocketAddr,
        members: Vec<membership::Member>,
        next_bucket: Option<u16>,
    ) {
        self.apply_members(members, false);
        if self.sync_next_bucket.is_none() {
            return;
        }
        self.sync_next_bucket = next_bucket;
        if let Some(first_bucket) = next_bucket {
            let body = membership::MessageBody::SyncRequest { first_bucket };
            self.send_with(from, body, Vec::new());
        }
    }

    pub(super) fn apply_members(&mut self, members: Vec<membership::Member>, propagate: bool) {
        for member in members {
            self.apply(membership::Update::Joined(member), propagate);
        }
    }

    /// Sends the stamps of the buckets whose digests differ, starting at a
    /// random bucket, up to the repair limit. If the lists are far apart, requests
    /// the complete list instead.
    pub(super) fn compare_digests(&mut self, from: net::SocketAddr, peer_digests: &[u16]) {
        let own_digests = self.table.bucket_digests(&self.own_member.stamp());
        if own_digests.len() != peer_digests.len() {
            return;
        }
        if is_far_apart(&own_digests, peer_digests) {
            let first_bucket = 0;
            self.sync_next_bucket = Some(first_bucket);
            let body = membership::MessageBody::SyncRequest { first_bucket };
            self.send_with(from, body, Vec::new());
            return;
        }
        let first = self.rng.random_range(0..member_table::BUCKET_COUNT);
        let (mut buckets, mut stamps) = (Vec::new(), Vec::new());
        for step in 0..member_table::BUCKET_COUNT {
            let bucket = (first + step) % member_table::BUCKET_COUNT;
            let index = usize::from(bucket);
            if own_digests[index] == peer_digests[index] {
                continue;
            }
            buckets.push(bucket);
            stamps.extend(self.bucket_records(bucket).map(membership::Member::stamp));
            let size_bytes = stamps.len() * membership::MemberStamp::SIZE_BYTES;
            if size_bytes >= self.config.repair_limit_bytes {
                break;
            }
        }
        if !buckets.is_empty() {
            let body = membership::MessageBody::Repair { buckets, stamps };
            self.send_with(from, body, Vec::new());
        }
    }

    pub(super) fn handle_repair(
        &mut self,
        from: net::SocketAddr,
        buckets: &[u16],
        stamps: Vec<membership::MemberStamp>,
    ) {
        let mut wanted = Vec::new();
        let mut peer_stamps = indexmap::IndexMap::new();
        for stamp in stamps {
            peer_stamps.insert(stamp.address, stamp);
            if self.apply(membership::Update::Changed(stamp), true) {
                wanted.push(stamp.address);
            }
        }
        let mut members = Vec::new();
        let mut remaining_bytes = self.config.repair_limit_bytes;
        for member in buckets
            .iter()
            .flat_map(|bucket| self.bucket_records(*bucket))
        {
            let lacks_record = match peer_stamps.get(&member.address) {
                Some(stamp) => member.stamp().is_newer_than(stamp),
                None => member.state != membership::MemberState::Dead,
            };
            if lacks_record && remaining_bytes > 0 {
                remaining_bytes = remaining_bytes.saturating_sub(member.size_bytes());
                members.push(member.clone());
            }
        }
        if !members.is_empty() || !wanted.is_empty() {
            let body = membership::MessageBody::RepairReply { members, wanted };
            self.send_with(from, body, Vec::new());
        }
    }

    pub(super) fn handle_repair_reply(
        &mut self,
        from: net::SocketAddr,
        members: Vec<membership::Member>,
        wanted: &[net::SocketAddr],
    ) {
        self.apply_members(members, true);
        let mut remaining_bytes = self.config.repair_limit_bytes;
        let mut requested = Vec::new();
        for member in wanted
            .iter()
            .filter_map(|address| self.find_member(*address))
        {
            if remaining_bytes == 0 {
                break;
            }
            remaining_bytes = remaining_bytes.saturating_sub(member.size_bytes());
            requested.push(member.clone());
        }
        if !requested.is_empty() {
            let body = membership::MessageBody::Members { members: requested };
            self.send_with(from, body, Vec::new());
        }
    }

    /// Returns the records of a bucket, including the record of this VM.
    fn bucket_records(&self, bucket: u16) -> impl Iterator<Item = &membership::Member> {
        let own_bucket = member_table::bucket_of(self.own_member.address);
        let own = (bucket == own_bucket).then_some(&self.own_member);
        own.into_iter().chain(self.table.bucket(bucket))
    }
}
