//! Arguments of `standin-backend`.

use std::{net, path};

use crate::backend;

/// Runs a stand-in backend server with a fixed number of slots.
#[derive(Clone, Debug, gumdrop::Options)]
pub struct Args {
    /// Prints this help.
    pub help: bool,
    /// Address to listen on.
    #[options(required, no_short, meta = "IP:PORT")]
    pub listen: Option<net::SocketAddr>,
    /// Name of the server in its responses.
    #[options(no_short, meta = "NAME", default = "server-1")]
    pub name: String,
    /// Number of requests that run at a time.
    #[options(no_short, meta = "N", default = "6")]
    pub slots: u32,
    /// Mean run time of a request, in milliseconds.
    #[options(no_short, meta = "MS", default = "10")]
    pub work_ms: f64,
    /// Seed of run times and gray modes.
    #[options(no_short, meta = "N", default = "1")]
    pub seed: u64,
    /// Time after the start during which requests run longer, in milliseconds.
    #[options(no_short, meta = "MS", default = "0")]
    pub cold_start_ms: u64,
    /// Number of requests that may wait for a slot; 0 refuses them at once.
    #[options(no_short, meta = "N", default = "0")]
    pub queue: u32,
    /// Interval at which the reported load is updated, in milliseconds.
    #[options(no_short, meta = "MS", default = "0")]
    pub load_lag_ms: u64,
    /// Response time of the health and load endpoints, in milliseconds.
    #[options(no_short, meta = "MS", default = "0")]
    pub probe_ms: u64,
    /// Makes the health endpoint report gray modes and draining.
    #[options(no_short)]
    pub honest_health: bool,
    /// Gray mode at the start, as JSON.
    #[options(no_short, meta = "JSON")]
    pub mode: Option<String>,
    /// File that keeps the run log across crashes.
    #[options(no_short, meta = "FILE")]
    pub run_log: Option<path::PathBuf>,
}

impl Args {
    /// Returns the settings for these arguments.
    ///
    /// # Errors
    ///
    /// Returns an error if the gray mode is not the JSON of a known mode.
    pub fn settings(&self) -> Result<backend::Settings, backend::GrayModeError> {
        let gray_mode = match &self.mode {
            Some(mode) => backend::GrayMode::parse(mode.as_bytes())?,
            None => backend::GrayMode::Healthy,
        };
        Ok(backend::Settings {
            cold_start_ms: self.cold_start_ms,
            gray_mode,
            honest_health: self.honest_health,
            load_lag_ms: self.load_lag_ms,
            mean_work_ms: self.work_ms,
            name: self.name.clone(),
            probe_ms: self.probe_ms,
            queue_requests: self.queue,
            run_log_path: self.run_log.clone(),
            seed: self.seed,
            slot_count: self.slots,
        })
    }
}
