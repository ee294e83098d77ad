//! A result to print.

/// A result to print.
#[derive(Clone, Debug, PartialEq)]
pub struct CommandOutput {
    /// The result for programs.
    pub json: serde_json::Value,
    /// The result for people.
    pub text: String,
}
