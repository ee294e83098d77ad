//! How callers ask which addresses to use.

use std::net;

/// How callers ask which addresses to use, and how a platform asks whether
/// this VM takes requests.
pub trait EntryPointCodec: Send + Sync {
    /// Gives the caller's question, or nothing for another path.
    fn parse(&self, uri: &http::Uri) -> Option<EntryPointQuery>;

    /// Gives the media type and body of an answer.
    fn render(&self, addresses: &[net::SocketAddr], lifetime_s: u64) -> (&'static str, String);

    /// Gives the path of the readiness question.
    fn readiness_path(&self) -> &str;
}

/// A caller's question for addresses.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EntryPointQuery {
    /// The caller's availability zone.
    pub availability_zone: String,
    /// The caller's region.
    pub region: String,
}
