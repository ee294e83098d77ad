//! Why a command failed.

use crate::log_client;
use crate::tool;

/// Why a command failed.
#[derive(Debug, snafu::Snafu)]
#[snafu(visibility(pub(super)))]
pub enum ToolError {
    /// The log cannot be read, or did not take a record.
    #[snafu(display("the log cannot be reached: {reason}; nothing was changed, try again later"))]
    LogUnreachable {
        /// What was seen.
        reason: String,
    },
    /// A change may or may not have taken effect.
    #[snafu(display("the outcome is unknown: {reason}"))]
    OutcomeUnknown {
        /// What was seen, and what to do.
        reason: String,
    },
    /// The change is refused.
    #[snafu(display("refused: {reason}"))]
    Refused {
        /// Why, and what to do.
        reason: String,
    },
    /// The command line is wrong, or a file cannot be read.
    #[snafu(display("{reason}"))]
    Usage {
        /// What is wrong.
        reason: String,
    },
}

impl ToolError {
    /// Gives the exit code.
    #[must_use]
    pub const fn exit_code(&self) -> tool::ExitCode {
        match self {
            Self::LogUnreachable { .. } => tool::ExitCode::LogUnreachable,
            Self::OutcomeUnknown { .. } => tool::ExitCode::OutcomeUnknown,
            Self::Refused { .. } => tool::ExitCode::Refused,
            Self::Usage { .. } => tool::ExitCode::Usage,
        }
    }
}

impl From<log_client::LogError> for ToolError {
    fn from(error: log_client::LogError) -> Self {
        let reason = error.reason().to_owned();
        Self::LogUnreachable { reason }
    }
}
