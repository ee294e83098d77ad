//! Rendezvous hashing: every VM computes the same ranking of the same
//! candidates.

use xxhash_rust::xxh3;

/// Returns the rank of `candidate` for `key`. Candidates with a higher rank
/// come first.
#[must_use]
pub fn rank(key: &str, candidate: &str) -> u64 {
    let seed = xxh3::xxh3_64(key.as_bytes());
    xxh3::xxh3_64_with_seed(candidate.as_bytes(), seed)
}

/// Returns the `count` candidates with the highest ranks for `key`, highest
/// first, or all candidates when there are fewer.
#[must_use]
pub fn top<'a>(key: &str, candidates: &[&'a str], count: usize) -> Vec<&'a str> {
    let mut ranked = candidates.to_vec();
    ranked.sort_by_cached_key(|&candidate| (u64::MAX - rank(key, candidate), candidate));
    ranked.truncate(count);
    ranked
}
