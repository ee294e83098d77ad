//! Whether a backend server takes new work.

/// Whether a backend server takes new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum BackendState {
    /// It ends what it runs and takes nothing new.
    Draining,
    /// It takes requests.
    Ready,
}
