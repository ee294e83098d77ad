//! Response of an entry VM to a query for entry points.

use crate::caller;

/// Response of an entry VM to a query for entry points.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct EntryPointResponse {
    /// Version of the configuration in force on the responding entry VM.
    #[serde(default)]
    pub configuration_version: serde_json::Value,
    /// Entry points to use.
    pub entry_points: Vec<caller::EntryPoint>,
}
