//! Access to the platform's log service and its VM list.

mod append_once;
mod appended;
mod client;
mod fake_log;
mod http_client;
mod http_log_client;
mod log_batch;
mod log_error;
mod vm_entry;

pub use append_once::append_once;
pub use appended::Appended;
pub use client::LogClient;
pub use fake_log::{FakeLog, Fault};
pub use http_client::{BuildError, HttpClient};
pub use http_log_client::HttpLogClient;
pub use log_batch::LogBatch;
pub use log_error::LogError;
pub use vm_entry::VmEntry;

/// Name of the stream that holds the configuration.
pub const CONFIGURATION_STREAM: &str = "configuration";
