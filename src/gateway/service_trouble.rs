//! How many of a service's requests have failed of late.

/// Time constant with which requests are forgotten, in milliseconds: the span
/// over which the contract looks.
const MEMORY_MS: f64 = 2_000.0;
/// Share of failed requests from which on a service's servers must be seen in
/// use: less than the tenth from which the contract looks at them.
const TROUBLED_SHARE: f64 = 0.08;
/// Fewest requests that say anything.
const LEAST_REQUESTS: f64 = 8.0;

/// How many of a service's requests have failed of late, of this VM and of
/// those that report to it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ServiceTrouble {
    failures: f64,
    requests: f64,
    updated_ms: u64,
}

impl ServiceTrouble {
    /// Counts requests that ended.
    pub(super) fn note(&mut self, now_ms: u64, is_failure: bool, count: u32) {
        *self = self.faded(now_ms);
        self.requests += f64::from(count);
        if is_failure {
            self.failures += f64::from(count);
        }
    }

    /// Tells whether so many fail that the minimum share of servers must be
    /// seen in use.
    pub(super) fn is_troubled(&self, now_ms: u64) -> bool {
        let faded = self.faded(now_ms);
        faded.requests >= LEAST_REQUESTS && faded.failures > faded.requests * TROUBLED_SHARE
    }

    fn faded(&self, now_ms: u64) -> Self {
        #[expect(clippy::cast_precision_loss, reason = "ages are far below 2^52 ms")]
        let age_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        let kept = (-age_ms / MEMORY_MS).exp();
        Self {
            failures: self.failures * kept,
            requests: self.requests * kept,
            updated_ms: now_ms,
        }
    }
}
