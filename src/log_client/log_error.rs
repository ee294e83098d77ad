//! Error of a call to the log service.

/// Error of a call to the log service. The variant says whether the call may
/// have changed the log despite the error.
#[derive(Clone, Debug, Eq, PartialEq, snafu::Snafu)]
#[snafu(visibility(pub))]
pub enum LogError {
    /// The call had no effect on the log.
    #[snafu(display("the call to the log had no effect: {reason}"))]
    NoEffect {
        /// Cause of the error.
        reason: String,
    },
    /// The call may have changed the log. Before an append is sent again, read
    /// the stream to find out whether the record is already in it.
    #[snafu(display("the call to the log may have taken effect: {reason}"))]
    MayHaveTakenEffect {
        /// Cause of the error.
        reason: String,
    },
}

impl LogError {
    /// Returns the cause of the error.
    #[must_use]
    pub fn reason(&self) -> &str {
        match self {
            Self::NoEffect { reason } | Self::MayHaveTakenEffect { reason } => reason,
        }
    }

    /// Returns whether the call may have changed the log.
    #[must_use]
    pub const fn may_have_taken_effect(&self) -> bool {
        matches!(self, Self::MayHaveTakenEffect { .. })
    }
}
