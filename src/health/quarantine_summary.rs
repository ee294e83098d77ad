//! Crashes that one entry VM reports to the others.

/// Servers that crashed while they ran requests with one fingerprint.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct QuarantineSummary {
    /// Time in milliseconds since the last of these crashes.
    pub age_ms: u64,
    /// Fingerprint of the requests.
    pub fingerprint: u64,
    /// Ids of the servers that crashed, at most two.
    pub server_ids: Vec<String>,
}
