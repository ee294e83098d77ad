//! How an attempt ended.

use foxtailwinch::verdict;

use crate::caller;

/// How an attempt ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// The whole answer to this request came.
    Answered,
    /// The connection broke, or the answer broke off.
    Broken,
    /// The server answered with an error of its own.
    Failed {
        /// Status of the answer.
        status: u16,
    },
    /// No connection was made, so nothing was sent.
    Unreachable,
    /// The fleet or the server refused the request.
    Refused {
        /// Why, in the fleet's words.
        reason: String,
        /// When to come back, in milliseconds.
        retry_after_ms: u64,
        /// Whether the request may have run.
        verdict: verdict::RunVerdict,
    },
    /// No answer came in time.
    TimedOut,
    /// The answer was not that of this request.
    Wrong(caller::ResponseFault),
}

impl AttemptOutcome {
    /// Gives the outcome's name in reports and histories.
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

    /// Gives why the attempt ended so, where there is more to say.
    #[must_use]
    pub fn reason(&self) -> Option<String> {
        match self {
            Self::Failed { status } => Some(format!("status-{status}")),
            Self::Refused { reason, .. } => Some(reason.clone()),
            Self::Wrong(fault) => Some(fault.as_str().to_owned()),
            _ => None,
        }
    }

    /// Gives whether the request may have run, for attempts without an answer.
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
