//! Gray failure modes of a backend server.

use snafu::ResultExt as _;

use crate::backend;

/// Largest factor by which requests run longer.
const MAX_FACTOR: f64 = 1_000_000.0;

/// Gray failure mode of a backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(
    deny_unknown_fields,
    rename_all = "kebab-case",
    rename_all_fields = "snake_case",
    tag = "mode"
)]
pub enum GrayMode {
    /// The process exits on a request with the header `x-crash: true`.
    CrashOnMarked,
    /// Some requests run and are answered with status 500.
    Failing {
        /// Share of the requests that fail, in percent.
        percent: f64,
    },
    /// The server alternates between healthy and slow.
    Flapping {
        /// Factor by which requests run longer in the slow half of a period.
        factor: f64,
        /// Length of a healthy and a slow half together, in milliseconds.
        period_ms: u64,
    },
    /// Requests are accepted but neither run nor answered.
    HalfAlive,
    /// No failure.
    #[default]
    Healthy,
    /// Requests run, but no response is sent.
    OneWay,
    /// Requests run longer than normal.
    Slow {
        /// Factor by which requests run longer.
        factor: f64,
    },
    /// Some responses end early.
    Truncated {
        /// Share of the responses that end early, in percent.
        percent: f64,
    },
    /// Some responses belong to another request.
    Wrong {
        /// Share of the responses that belong to another request, in percent.
        percent: f64,
    },
}

impl GrayMode {
    /// Parses a gray mode from JSON such as `{"mode":"slow","factor":5}`.
    ///
    /// # Errors
    ///
    /// Returns an error if the mode is unknown or one of its numbers is out of
    /// range.
    pub fn parse(text: &[u8]) -> Result<Self, backend::GrayModeError> {
        let gray_mode =
            serde_json::from_slice(text).context(backend::gray_mode_error::MalformedSnafu)?;
        match gray_mode {
            Self::Failing { percent } | Self::Truncated { percent } | Self::Wrong { percent } => {
                check_range("percent", percent, 100.0)?;
            }
            Self::Flapping { factor, .. } | Self::Slow { factor } => {
                check_range("factor", factor, MAX_FACTOR)?;
            }
            Self::CrashOnMarked | Self::HalfAlive | Self::Healthy | Self::OneWay => {}
        }
        Ok(gray_mode)
    }

    /// Returns the factor by which requests run longer at `now_ms`.
    #[must_use]
    pub const fn work_factor(self, now_ms: u64) -> f64 {
        match self {
            Self::Flapping { factor, period_ms } if Self::is_slow_half(now_ms, period_ms) => factor,
            Self::Slow { factor } => factor,
            _ => 1.0,
        }
    }

    const fn is_slow_half(now_ms: u64, period_ms: u64) -> bool {
        period_ms > 0 && now_ms % period_ms >= period_ms / 2
    }
}

fn check_range(field: &'static str, value: f64, max: f64) -> Result<(), backend::GrayModeError> {
    let min = 0.0;
    snafu::ensure!(
        (min..=max).contains(&value),
        backend::gray_mode_error::OutOfRangeSnafu {
            field,
            max,
            min,
            value,
        }
    );
    Ok(())
}
