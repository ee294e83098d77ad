//! How likely it is that one backend server is failing now.

use crate::configs::gateway;

/// How likely it is that one backend server is failing now.
///
/// Load pattern: at any time some servers fail most of their requests for
/// several seconds while their health checks pass. Each outcome moves the log
/// odds; what was seen fades, so that a server that got no work is tried again.
#[derive(Clone, Copy, Debug)]
pub struct Suspicion {
    log_odds: f64,
    updated_ms: u64,
}

/// What one request says of the server that ran it.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum Evidence {
    /// It failed, was cut short or got no answer.
    Failure,
    /// It was answered, but far slower than usual.
    Slow,
    /// It was answered.
    Success,
}

impl Suspicion {
    /// Gives the suspicion of a server that nothing is known of.
    #[must_use]
    pub const fn new(config: &gateway::SuspicionConfig) -> Self {
        Self {
            log_odds: config.base_log_odds,
            updated_ms: 0,
        }
    }

    /// Takes in what one request says.
    pub fn note(&mut self, config: &gateway::SuspicionConfig, now_ms: u64, evidence: Evidence) {
        let change = match evidence {
            Evidence::Failure => config.failure_log_odds,
            Evidence::Slow => config.slow_log_odds,
            Evidence::Success => -config.success_log_odds,
        };
        let limit = config.limit_log_odds;
        self.log_odds = (self.faded(config, now_ms) + change).clamp(-limit, limit);
        self.updated_ms = now_ms;
    }

    /// Gives the probability that the server is failing.
    #[must_use]
    pub fn probability(&self, config: &gateway::SuspicionConfig, now_ms: u64) -> f64 {
        let odds = self.faded(config, now_ms).exp();
        odds / (1.0 + odds)
    }

    fn faded(&self, config: &gateway::SuspicionConfig, now_ms: u64) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "ages are far below 2^52 ms")]
        let age_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        let kept = (-age_ms / config.fading_ms).exp();
        config.base_log_odds + (self.log_odds - config.base_log_odds) * kept
    }
}
