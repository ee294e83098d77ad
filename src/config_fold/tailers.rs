//! Choice of the VMs that tail the log.
//!
//! Each VM computes the choice from its own list of members, without messages.

use crate::config_fold;

/// Returns the members by descending rendezvous-hash score.
pub fn rank(members: &[config_fold::ReplicationMember]) -> Vec<&config_fold::ReplicationMember> {
    let mut ranked: Vec<_> = members.iter().collect();
    ranked.sort_by_cached_key(|member| std::cmp::Reverse((score(member), member.id.clone())));
    ranked
}

/// Returns the ids of up to `count` members of `region` that tail the log.
///
/// Chooses by rank, but prefers members of availability zones that have no chosen
/// member yet, so that the failure of a zone does not stop all reads.
pub fn choose<'a>(
    members: &'a [config_fold::ReplicationMember],
    region: &str,
    count: usize,
) -> Vec<&'a str> {
    let mut candidates = rank(members);
    candidates.retain(|member| member.region == region);
    let mut chosen: Vec<&config_fold::ReplicationMember> = Vec::new();
    while chosen.len() < count && !candidates.is_empty() {
        let in_unused_zone = candidates.iter().position(|member| {
            chosen
                .iter()
                .all(|other| other.availability_zone != member.availability_zone)
        });
        chosen.push(candidates.remove(in_unused_zone.unwrap_or(0)));
    }
    chosen.iter().map(|member| member.id.as_str()).collect()
}

fn score(member: &config_fold::ReplicationMember) -> u64 {
    xxhash_rust::xxh3::xxh3_64(member.id.as_bytes())
}
