//! Rule by which a policy chooses servers.

/// Rule by which a policy chooses servers.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChoiceRule {
    /// The gateway's backend pool, with evidence shared in the region.
    #[serde(rename = "board")]
    BackendPool,
    /// The server with the fewest requests in flight from the choosing VM.
    LeastOutstanding,
    /// A uniformly random server.
    Random,
}
