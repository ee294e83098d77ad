//! The fleet's answer to the question for entry points.

use crate::caller;

/// The fleet's answer to the question for entry points.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct EntryPointResponse {
    /// Version of the configuration in force at the entry VM that answered.
    #[serde(default)]
    pub configuration_version: serde_json::Value,
    /// Addresses to use.
    pub entry_points: Vec<caller::EntryPoint>,
}
