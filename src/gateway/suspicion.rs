//! How likely it is that one backend server is failing now.

use crate::configs::gateway;

/// How likely it is that one backend server is failing now.
///
/// Load pattern: at any time some servers fail most of their requests for
/// several seconds while their health checks pass. A server is taken to be
/// healthy or failing, and to change between them now and then: each outcome moves
/// the odds by how much likelier it is of a failing server, and with time the
/// probability returns to what it is of a server that nothing is known of. So
/// one that got no work is tried again.
#[derive(Clone, Copy, Debug)]
pub struct Suspicion {
    probability: f64,
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
            probability: config.unknown_probability,
            updated_ms: 0,
        }
    }

    /// Takes in what `count` requests say.
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

    /// Gives the probability that the server is failing.
    #[must_use]
    pub fn probability(&self, config: &gateway::SuspicionConfig, now_ms: u64) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "ages are far below 2^52 ms")]
        let age_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        let retained_share = (-age_ms / config.change_time_ms).exp();
        config.unknown_probability
            + (self.probability - config.unknown_probability) * retained_share
    }
}
