//! Size of a service.

use foxtailwinch::bundle;

/// Size of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceShape {
    /// Maximum number of connections that each server accepts in total.
    pub connection_limit: u32,
    /// Time limit of a whole request, in milliseconds.
    pub deadline_ms: u64,
    /// Cost of a false ejection compared with that of a late detection, from 0
    /// to 1.
    pub false_ejection_weight: f64,
    /// Share of the servers that must stay in service despite ejections, in
    /// percent.
    pub floor_percent: u32,
    /// Whether a second run of a request has no further effect.
    pub idempotent: bool,
    /// Largest request body, in bytes.
    pub max_body_bytes: u64,
    /// Mean run time of a request, in milliseconds.
    pub mean_work_ms: f64,
    /// Name of the service; its routes start with `/` and this name.
    pub name: &'static str,
    /// Priority of the service when capacity is short.
    pub priority: bundle::Priority,
    /// Number of servers.
    pub server_count: u32,
    /// Number of requests that each server runs at a time.
    pub slot_count: u32,
}

impl ServiceShape {
    /// Returns the minimum number of healthy servers out of `server_count`, at
    /// least 1.
    #[must_use]
    pub fn floor_servers(&self, server_count: u32) -> u32 {
        (server_count * self.floor_percent / 100).max(1)
    }

    /// Returns the number of servers at `scale`, at least 2.
    #[must_use]
    pub fn scaled_server_count(&self, scale: f64) -> u32 {
        let wanted = f64::from(self.server_count) * scale;
        (2..self.server_count)
            .find(|count| f64::from(*count) >= wanted)
            .unwrap_or_else(|| self.server_count.max(2))
    }
}
