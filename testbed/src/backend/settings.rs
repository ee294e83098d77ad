//! Settings of a stand-in backend server.

use std::path;

use crate::backend;

/// Settings of a stand-in backend server.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Time after the start during which requests run longer, in milliseconds.
    pub cold_start_ms: u64,
    /// Gray mode at the start.
    pub gray_mode: backend::GrayMode,
    /// Whether the health endpoint reports gray modes and draining.
    pub honest_health: bool,
    /// Interval at which the reported load is updated, in milliseconds.
    pub load_lag_ms: u64,
    /// Mean run time of a request, in milliseconds.
    pub mean_work_ms: f64,
    /// Name of the server in its responses.
    pub name: String,
    /// Response time of the health and load endpoints, in milliseconds.
    pub probe_ms: u64,
    /// Number of requests that may wait for a slot.
    pub queue_requests: u32,
    /// File that keeps the run log across crashes.
    pub run_log_path: Option<path::PathBuf>,
    /// Seed of run times and gray modes.
    pub seed: u64,
    /// Number of requests that run at a time.
    pub slot_count: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            cold_start_ms: 0,
            gray_mode: backend::GrayMode::Healthy,
            honest_health: false,
            load_lag_ms: 0,
            mean_work_ms: 10.0,
            name: "server-1".to_owned(),
            probe_ms: 0,
            queue_requests: 0,
            run_log_path: None,
            seed: 1,
            slot_count: 6,
        }
    }
}
