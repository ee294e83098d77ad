//! Result of a command.

/// Result of a command, in both output formats.
#[derive(Clone, Debug, PartialEq)]
pub struct CommandOutput {
    /// Result as JSON.
    pub json: serde_json::Value,
    /// Result as text for operators.
    pub text: String,
}
