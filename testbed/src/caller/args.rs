//! Arguments of `standin-caller`.

use std::{net, path, process, time};

use crate::caller;

/// Sends requests through the fleet, or directly to one server, and checks
/// every response.
#[derive(Clone, Debug, gumdrop::Options)]
pub struct Args {
    /// Prints this help.
    pub help: bool,
    /// Address to query for entry points; may be repeated.
    #[options(no_short, meta = "IP:PORT")]
    pub entry: Vec<net::SocketAddr>,
    /// Server to call directly, without entry points.
    #[options(no_short, meta = "IP:PORT")]
    pub direct: Option<net::SocketAddr>,
    /// Number of requests.
    #[options(no_short, meta = "N", default = "100")]
    pub requests: u64,
    /// Number of requests in flight at a time.
    #[options(no_short, meta = "N", default = "4")]
    pub concurrency: u32,
    /// Requests started per second; 0 starts each request as soon as another
    /// has ended.
    #[options(no_short, meta = "N", default = "0")]
    pub rate_per_s: f64,
    /// Path of the requests.
    #[options(no_short, meta = "PATH", default = "/")]
    pub path: String,
    /// Method of the requests.
    #[options(no_short, meta = "METHOD", default = "GET")]
    pub method: http::Method,
    /// Length of each request body, in bytes.
    #[options(no_short, meta = "N", default = "0")]
    pub body_bytes: u64,
    /// Organisation of the requests.
    #[options(no_short, meta = "NAME", default = "organisation-1")]
    pub organisation: String,
    /// Time limit of each attempt, in milliseconds.
    #[options(no_short, meta = "MS", default = "2000")]
    pub deadline_ms: u64,
    /// Sends an idempotency key with each request.
    #[options(no_short)]
    pub keyed: bool,
    /// Maximum number of attempts per request.
    #[options(no_short, meta = "N", default = "4")]
    pub attempts: u32,
    /// Header added to each request; may be repeated.
    #[options(no_short, meta = "NAME:VALUE")]
    pub header: Vec<String>,
    /// File for the history of all attempts, as JSON lines.
    #[options(no_short, meta = "FILE")]
    pub history: Option<path::PathBuf>,
    /// Format of the report: text or json.
    #[options(no_short, meta = "FORMAT", default = "text")]
    pub output: caller::OutputFormat,
    /// Seed of the request bodies.
    #[options(no_short, meta = "N", default = "1")]
    pub seed: u64,
}

impl Args {
    /// Returns the settings for these arguments.
    ///
    /// # Errors
    ///
    /// Returns an error if a header is malformed, or if neither an entry VM nor
    /// a server is given.
    pub fn settings(&self) -> Result<caller::Settings, String> {
        if self.entry.is_empty() && self.direct.is_none() {
            return Err("neither --entry nor --direct is given".to_owned());
        }
        let headers = self.header.iter().map(|text| parse_header(text));
        Ok(caller::Settings {
            attempt_limit: self.attempts.max(1),
            body_bytes: self.body_bytes,
            concurrency: self.concurrency.max(1),
            deadline_ms: self.deadline_ms,
            direct: self.direct,
            entry_addresses: self.entry.clone(),
            headers: headers.collect::<Result<_, _>>()?,
            history_path: self.history.clone(),
            keyed: self.keyed,
            method: self.method.clone(),
            organisation: self.organisation.clone(),
            path: self.path.clone(),
            rate_per_s: self.rate_per_s,
            request_count: self.requests,
            run_id: new_run_id(),
            seed: self.seed,
        })
    }
}

/// Returns a unique run id. Two runs with the same id would share idempotency
/// keys.
fn new_run_id() -> String {
    let unix_ns = time::SystemTime::now()
        .duration_since(time::UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_nanos());
    format!("{unix_ns:x}-{:x}", process::id())
}

fn parse_header(text: &str) -> Result<(http::HeaderName, http::HeaderValue), String> {
    let malformed = || format!("expected NAME:VALUE, found {text}");
    let (name, value) = text.split_once(':').ok_or_else(malformed)?;
    let name = name.trim().parse().map_err(|_| malformed())?;
    let value = value.trim().parse().map_err(|_| malformed())?;
    Ok((name, value))
}
