//! Ejections that a decider has granted.

use crate::health;

/// Ejections that a decider has granted, each with the latest time at which any
/// entry VM may still hold it.
#[derive(Debug, Default)]
pub(super) struct GrantTable {
    ends_ms: indexmap::IndexMap<String, u64>,
}

impl GrantTable {
    /// Removes the grants that no entry VM can hold any more.
    pub(super) fn expire(&mut self, now_ms: u64) {
        self.ends_ms.retain(|_, ends_ms| *ends_ms > now_ms);
    }

    /// Records a grant. If an earlier grant of the same server ends later, the later
    /// end is kept.
    pub(super) fn insert(&mut self, server_id: &str, ends_ms: u64) {
        let latest = self.ends_ms.entry(server_id.to_owned()).or_default();
        *latest = ends_ms.max(*latest);
    }

    /// Returns whether an entry VM may hold an ejection of the server.
    pub(super) fn contains(&self, server_id: &str) -> bool {
        self.ends_ms.contains_key(server_id)
    }

    /// Returns the servers in order of their first unexpired grant, newest
    /// first.
    pub(super) fn newest_first(&self) -> impl Iterator<Item = &str> {
        self.ends_ms.keys().rev().map(String::as_str)
    }

    /// Returns the number of servers that stay in service with the current
    /// grants and, if given, an ejection of `server_id`.
    pub(super) fn capacity_without(
        &self,
        servers: &indexmap::IndexMap<String, health::ServerState>,
        server_id: Option<&str>,
    ) -> usize {
        servers
            .values()
            .filter(|server| server.is_capacity())
            .filter(|server| !self.contains(&server.server_id))
            .filter(|server| server_id != Some(server.server_id.as_str()))
            .count()
    }

    /// Returns the next time at which a grant ends; `None` without grants.
    pub(super) fn next_end_ms(&self) -> Option<u64> {
        self.ends_ms.values().min().copied()
    }
}
