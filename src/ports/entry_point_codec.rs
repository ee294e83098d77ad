//! Format of entry-point queries and responses.

use std::net;

/// Platform's format of entry-point queries, with which callers request the
/// addresses of entry VMs, and path of its readiness check.
pub trait EntryPointCodec: Send + Sync {
    /// Parses an entry-point query. Returns `None` if the path is not the one
    /// of entry-point queries.
    fn parse(&self, uri: &http::Uri) -> Option<EntryPointQuery>;

    /// Returns the media type and body of the response that lists `addresses`.
    /// Callers may cache it for `lifetime_s` seconds.
    fn render(&self, addresses: &[net::SocketAddr], lifetime_s: u64) -> (&'static str, String);

    /// Returns the path on which the platform checks whether this VM is ready
    /// for requests.
    fn readiness_path(&self) -> &str;
}

/// Query of a caller for the addresses of entry VMs.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EntryPointQuery {
    /// Availability zone of the caller; empty if not sent.
    pub availability_zone: String,
    /// Region of the caller; empty if not sent.
    pub region: String,
}
