//! Estimate of the probability that a backend server is failing.

use crate::configs::gateway;

/// Estimate of the probability that a backend server is failing.
///
/// Load pattern: at any time, some servers fail most of their requests for
/// several seconds while their health checks pass.
///
/// A server is modelled as either healthy or failing, with occasional changes
/// between the two. Each outcome multiplies the odds of failing by the ratio of its
/// likelihoods on a failing and on a healthy server. Without new outcomes, the
/// probability returns to that of a server without evidence, so that a server that
/// no longer receives requests is tried again.
#[derive(Clone, Copy, Debug)]
pub struct Suspicion {
    probability: f64,
    updated_ms: u64,
}

/// Evidence on the health of a server from one request that it ran.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum Evidence {
    /// The request failed, or its response was truncated, unusable or missing.
    Failure,
    /// The request got a response, but took far longer than usual.
    Slow,
    /// The request got a response without server error in the usual time.
    Success,
}

impl Suspicion {
    /// Creates the suspicion of a server without evidence.
    #[must_use]
    pub const fn new(config: &gateway::SuspicionConfig) -> Self {
        Self {
            probability: config.unknown_probability,
            updated_ms: 0,
        }
    }

    /// Records the evidence from `count` requests.
    pub fn record(
        &mut self,
        config: &gateway::SuspicionConfig,
        now_ms: u64,
        evidence: Evidence,
        count: u32,
    ) {
        let failing = config.bad_failure_share;
        let healthy = config.good_failure_share;
        let ratio = match evidence {
            Evidence::Failure => failing / healthy,
            Evidence::Slow => config.slow_ratio,
            Evidence::Success => (1.0 - failing) / (1.0 - healthy),
        };
        let probability = self.probability(config, now_ms);
        let odds = probability / (1.0 - probability) * ratio.powf(f64::from(count));
        let min_probability = config.least_probability;
        self.probability = (odds / (1.0 + odds)).clamp(min_probability, 1.0 - min_probability);
        self.updated_ms = now_ms;
    }

    /// Returns the probability that the server is failing.
    #[must_use]
    pub fn probability(&self, config: &gateway::SuspicionConfig, now_ms: u64) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "ages are far below 2^52 ms")]
        let age_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        let retained_share = (-age_ms / config.change_time_ms).exp();
        config.unknown_probability
            + (self.probability - config.unknown_probability) * retained_share
    }
}
