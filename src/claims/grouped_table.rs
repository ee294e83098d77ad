//! A table of keys in groups that are evicted together.

use std::collections;
use std::ops;

use crate::claims;

/// Estimated memory per entry besides key and record: hash, slot and spare
/// capacity.
const ENTRY_OVERHEAD_BYTES: usize = 32;

/// Table of keys and their records, in groups that are evicted together.
///
/// Groups are ordered, so that the oldest one can be found.
#[derive(Clone, Debug)]
pub struct GroupedTable<G, R> {
    groups: collections::BTreeMap<G, indexmap::IndexMap<claims::ClaimKey, R>>,
    key_count: usize,
    size_bytes: usize,
}

impl<G: Copy + Ord, R> GroupedTable<G, R> {
    /// Creates an empty table.
    pub const fn new() -> Self {
        Self {
            groups: collections::BTreeMap::new(),
            key_count: 0,
            size_bytes: 0,
        }
    }

    /// Adds the size of a record's stored response to the size of the table.
    pub const fn add_response_bytes(&mut self, response_bytes: usize) {
        self.size_bytes += response_bytes;
    }

    /// Removes a group and returns its keys. `response_bytes` must return the
    /// bytes that were added for a record by [`Self::add_response_bytes`].
    pub fn evict(
        &mut self,
        group: G,
        response_bytes: impl Fn(&R) -> usize,
    ) -> indexmap::IndexMap<claims::ClaimKey, R> {
        let evicted = self.groups.remove(&group).unwrap_or_default();
        for (key, record) in &evicted {
            self.key_count -= 1;
            self.size_bytes -= entry_bytes::<R>(key) + response_bytes(record);
        }
        evicted
    }

    /// Returns the record of a key.
    pub fn get(&self, group: G, key: &claims::ClaimKey) -> Option<&R> {
        self.groups.get(&group)?.get(key)
    }

    /// Returns the mutable record of a key.
    pub fn get_mut(&mut self, group: G, key: &claims::ClaimKey) -> Option<&mut R> {
        self.groups.get_mut(&group)?.get_mut(key)
    }

    /// Returns the groups in order, each with its keys.
    pub fn groups(&self) -> impl Iterator<Item = (&G, &indexmap::IndexMap<claims::ClaimKey, R>)> {
        self.groups.iter()
    }

    /// Returns the groups within `range`, in order.
    pub fn group_range(&self, range: ops::RangeInclusive<G>) -> impl Iterator<Item = &G> {
        self.groups.range(range).map(|(group, _)| group)
    }

    /// Inserts a key that is not in the table.
    pub fn insert(&mut self, group: G, key: claims::ClaimKey, record: R) {
        self.key_count += 1;
        self.size_bytes += entry_bytes::<R>(&key);
        let replaced = self.groups.entry(group).or_default().insert(key, record);
        assert!(replaced.is_none(), "the key is already in the table");
    }

    /// Returns the number of keys in all groups.
    pub const fn key_count(&self) -> usize {
        self.key_count
    }

    /// Returns the estimated memory of all keys, records and stored responses.
    pub const fn size_bytes(&self) -> usize {
        self.size_bytes
    }
}

fn entry_bytes<R>(key: &claims::ClaimKey) -> usize {
    key.size_bytes() + size_of::<R>() + ENTRY_OVERHEAD_BYTES
}
