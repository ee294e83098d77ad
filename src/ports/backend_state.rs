//! State of a backend server in the registry.

/// Whether a backend server accepts new requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum BackendState {
    /// The server completes running requests and accepts no new ones.
    Draining,
    /// The server accepts requests.
    Ready,
}
