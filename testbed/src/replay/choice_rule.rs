//! How a policy chooses servers.

/// How a policy chooses servers.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChoiceRule {
    /// As the gateway does, with evidence shared in the region.
    #[serde(rename = "board")]
    BackendPool,
    /// The server with the fewest requests of the VM's own.
    LeastOutstanding,
    /// Any server.
    Random,
}
