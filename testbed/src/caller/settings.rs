//! Settings of a caller.

use std::{net, path};

/// Settings of a caller.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Maximum number of attempts per request.
    pub attempt_limit: u32,
    /// Length of each request body, in bytes.
    pub body_bytes: u64,
    /// Number of requests in flight at a time.
    pub concurrency: u32,
    /// Time limit of each attempt, in milliseconds.
    pub deadline_ms: u64,
    /// Server to call directly, without entry points.
    pub direct: Option<net::SocketAddr>,
    /// Addresses to query first for entry points.
    pub entry_addresses: Vec<net::SocketAddr>,
    /// Headers added to each request.
    pub headers: Vec<(http::HeaderName, http::HeaderValue)>,
    /// File for the history of all attempts.
    pub history_path: Option<path::PathBuf>,
    /// Whether requests carry idempotency keys.
    pub keyed: bool,
    /// Method of the requests.
    pub method: http::Method,
    /// Organisation of the requests.
    pub organisation: String,
    /// Path of the requests.
    pub path: String,
    /// Requests started per second; 0 starts each request as soon as another
    /// has ended.
    pub rate_per_s: f64,
    /// Number of requests.
    pub request_count: u64,
    /// Unique id of this run, contained in every request id.
    pub run_id: String,
    /// Seed of the request bodies.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            attempt_limit: 4,
            body_bytes: 0,
            concurrency: 4,
            deadline_ms: 2_000,
            direct: None,
            entry_addresses: Vec::new(),
            headers: Vec::new(),
            history_path: None,
            keyed: false,
            method: http::Method::GET,
            organisation: "organisation-1".to_owned(),
            path: "/".to_owned(),
            rate_per_s: 0.0,
            request_count: 100,
            run_id: "run-1".to_owned(),
            seed: 1,
        }
    }
}
