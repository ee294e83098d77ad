//! Why a call of the log gave no result.

/// Why a call of the log gave no result, and whether it may have changed the
/// log all the same.
#[derive(Clone, Debug, Eq, PartialEq, snafu::Snafu)]
#[snafu(visibility(pub))]
pub enum LogError {
    /// The append did not happen.
    #[snafu(display("the log did not take the call: {reason}"))]
    NoEffect {
        /// What was seen.
        reason: String,
    },
    /// The append may have happened: read back before it is sent again.
    #[snafu(display("the log may have taken the call: {reason}"))]
    MayHaveTakenEffect {
        /// What was seen.
        reason: String,
    },
}

impl LogError {
    /// Gives what was seen.
    #[must_use]
    pub fn reason(&self) -> &str {
        match self {
            Self::NoEffect { reason } | Self::MayHaveTakenEffect { reason } => reason,
        }
    }

    /// Tells whether the append may have happened.
    #[must_use]
    pub const fn may_have_taken_effect(&self) -> bool {
        matches!(self, Self::MayHaveTakenEffect { .. })
    }
}
