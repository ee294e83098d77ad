//! Outcome of an attempt.

use foxtailwinch::verdict;

use crate::caller;

/// Outcome of an attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// The complete response to this request arrived.
    Answered,
    /// The connection was lost, or the response was truncated.
    Broken,
    /// The server responded with an error status.
    Failed {
        /// Status of the response.
        status: u16,
    },
    /// No connection was established, so nothing was sent.
    Unreachable,
    /// The fleet or the server refused the request.
    Refused {
        /// Reason code from the fleet.
        reason: String,
        /// Time to wait before a retry, in milliseconds.
        retry_after_ms: u64,
        /// Whether the request may have run.
        verdict: verdict::RunVerdict,
    },
    /// No response arrived in time.
    TimedOut,
    /// The response does not belong to this request.
    Wrong(caller::ResponseFault),
}

impl AttemptOutcome {
    /// Returns the outcome's name in reports and histories.
    #[must_use]
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Broken => "broken",
            Self::Failed { .. } => "failed",
            Self::Refused { .. } => "refused",
            Self::TimedOut => "timed-out",
            Self::Unreachable => "unreachable",
            Self::Wrong(_) => "wrong",
        }
    }

    /// Returns the reason of the outcome, if it has one.
    #[must_use]
    pub fn reason(&self) -> Option<String> {
        match self {
            Self::Failed { status } => Some(format!("status-{status}")),
            Self::Refused { reason, .. } => Some(reason.clone()),
            Self::Wrong(fault) => Some(fault.as_str().to_owned()),
            _ => None,
        }
    }

    /// Returns whether the request may have run, for attempts without a
    /// response.
    #[must_use]
    pub const fn verdict(&self) -> Option<verdict::RunVerdict> {
        match self {
            Self::Answered | Self::Failed { .. } | Self::Wrong(_) => None,
            Self::Broken | Self::TimedOut => Some(verdict::RunVerdict::MayHaveRun),
            Self::Refused { verdict, .. } => Some(*verdict),
            Self::Unreachable => Some(verdict::RunVerdict::NotRun),
        }
    }
}
