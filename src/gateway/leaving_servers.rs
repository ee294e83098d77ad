//! Backend servers that have said that they leave.

/// Time for which a server that leaves is remembered, in milliseconds. Its record may
/// come back after an outage of the store.
const RETENTION_MS: u64 = 600_000;

/// Incarnations of the backend servers that have said that they leave, whether they are
/// registered or not.
#[derive(Debug, Default)]
pub struct LeavingServers {
    until_ms: indexmap::IndexMap<u64, u64>,
}

impl LeavingServers {
    /// Records that a server leaves. Returns whether this is news.
    pub fn record(&mut self, now_ms: u64, incarnation: u64) -> bool {
        self.until_ms.retain(|_, until_ms| *until_ms > now_ms);
        let until_ms = now_ms + RETENTION_MS;
        self.until_ms.insert(incarnation, until_ms).is_none()
    }

    /// Returns whether a server leaves.
    #[must_use]
    pub fn contains(&self, incarnation: u64) -> bool {
        self.until_ms.contains_key(&incarnation)
    }
}
