//! Report of admitted requests between entry VMs.

use xxhash_rust::xxh3;

/// First bytes of the hash of an organisation's name, as reports contain them. Two of
/// 610,000 organisations may share them; each is then charged with the requests of both.
pub(crate) type HashPrefix = [u8; 4];

/// Returns the first bytes of a hash; their order is that of the hashes.
pub(crate) const fn prefix(hash: u64) -> HashPrefix {
    let [a, b, c, d, ..] = hash.to_be_bytes();
    [a, b, c, d]
}

/// Requests that an entry VM has admitted since its last report, by organisation. A
/// report without requests shows that its sender is reachable.
///
/// Most organisations have one request in a report, which therefore lists them without
/// a count.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct UsageReport {
    /// Organisations with several requests, with their counts.
    pub(crate) counts: Vec<(HashPrefix, u32)>,
    /// Number of this report; the next one has the next number.
    pub(crate) sequence: u32,
    /// Organisations with one request.
    pub(crate) singles: Vec<HashPrefix>,
}

impl UsageReport {
    /// Returns the hash of an organisation's name.
    pub(crate) fn hash(name: &str) -> u64 {
        xxh3::xxh3_64(name.as_bytes())
    }

    /// Returns whether no request was admitted.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.counts.is_empty() && self.singles.is_empty()
    }

    /// Adds the requests of an organisation.
    pub(crate) fn push(&mut self, prefix: HashPrefix, count: u32) {
        match count {
            0 => {}
            1 => self.singles.push(prefix),
            _ => self.counts.push((prefix, count)),
        }
    }

    /// Returns the organisations with their numbers of requests.
    pub(crate) fn usages(&self) -> impl Iterator<Item = (HashPrefix, u32)> {
        let singles = self.singles.iter().map(|prefix| (*prefix, 1));
        singles.chain(self.counts.iter().copied())
    }
}
