//! Error of a command.

use crate::log_client;
use crate::tool;

/// Error of a command.
#[derive(Debug, snafu::Snafu)]
#[snafu(visibility(pub(super)))]
pub enum ToolError {
    /// The log cannot be reached or read completely, or an append had no effect.
    #[snafu(display("the log is unavailable: {reason}; nothing was changed, try again later"))]
    LogUnavailable {
        /// Cause of the error.
        reason: String,
    },
    /// It is unknown whether a change took effect, or not all VMs have applied
    /// it.
    #[snafu(display("the outcome is unknown: {reason}"))]
    OutcomeUnknown {
        /// Cause of the error and how to proceed.
        reason: String,
    },
    /// The change was refused.
    #[snafu(display("refused: {reason}"))]
    Refused {
        /// Reason for the refusal and how to proceed.
        reason: String,
    },
    /// The command line is invalid, or a file cannot be read.
    #[snafu(display("{reason}"))]
    Usage {
        /// Cause of the error.
        reason: String,
    },
}

impl ToolError {
    /// Returns the exit code for the error.
    #[must_use]
    pub const fn exit_code(&self) -> tool::ExitCode {
        match self {
            Self::LogUnavailable { .. } => tool::ExitCode::LogUnavailable,
            Self::OutcomeUnknown { .. } => tool::ExitCode::OutcomeUnknown,
            Self::Refused { .. } => tool::ExitCode::Refused,
            Self::Usage { .. } => tool::ExitCode::Usage,
        }
    }
}

impl From<log_client::LogError> for ToolError {
    fn from(error: log_client::LogError) -> Self {
        let reason = error.reason().to_owned();
        Self::LogUnavailable { reason }
    }
}
