//! The ways in which a server can fail grayly.

use snafu::ResultExt as _;

use crate::backend;

/// How many times longer requests run at most.
const MAX_FACTOR: f64 = 1_000_000.0;

/// The way in which a server fails.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(
    deny_unknown_fields,
    rename_all = "kebab-case",
    rename_all_fields = "snake_case",
    tag = "mode"
)]
pub enum GrayMode {
    /// A request with the header `x-crash: true` ends the process.
    CrashOnMarked,
    /// Some requests are answered 500 after they ran.
    Failing {
        /// Share of the requests that fail.
        percent: f64,
    },
    /// Changes between healthy and slow.
    Flapping {
        /// How many times longer requests run in the slow half.
        factor: f64,
        /// Length of a healthy and a slow half together.
        period_ms: u64,
    },
    /// Requests are accepted and never run or answered.
    HalfAlive,
    /// Nothing fails.
    #[default]
    Healthy,
    /// Requests run, and their answers never get back.
    OneWay,
    /// Requests run longer.
    Slow {
        /// How many times longer requests run.
        factor: f64,
    },
    /// Some answers break off early.
    Truncated {
        /// Share of the answers that break off.
        percent: f64,
    },
    /// Some answers are those of another request.
    Wrong {
        /// Share of the answers that are another request's.
        percent: f64,
    },
}

impl GrayMode {
    /// Reads a gray mode from JSON such as `{"mode":"slow","factor":5}`.
    ///
    /// # Errors
    ///
    /// Fails if the mode is unknown, or one of its numbers makes no sense.
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

    /// Gives how many times longer requests run at `now_ms`.
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
