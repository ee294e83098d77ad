//! Which VMs read the log, by calculation.

use crate::config_fold;

/// Gives the members by descending rendezvous score.
pub fn rank(members: &[config_fold::ReplicationMember]) -> Vec<&config_fold::ReplicationMember> {
    let mut ranked: Vec<_> = members.iter().collect();
    ranked.sort_by_cached_key(|member| std::cmp::Reverse((score(member), member.id.clone())));
    ranked
}

/// Gives the ids of up to `count` members of `region` that read the log:
/// the first by rank, then the next ones in other availability zones, then
/// any.
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
