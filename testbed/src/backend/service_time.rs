//! Random run times of requests.

use rand::{Rng as _, SeedableRng as _};

/// Factor by which requests run longer on a server that has just started.
const COLD_FACTOR: f64 = 5.0;

/// Share of the mean run time that is the same for every request.
const FIXED_SHARE: f64 = 0.5;

/// Generator of random run times with a fixed part and an exponentially
/// distributed part.
#[derive(Clone, Debug)]
pub struct ServiceTime {
    cold_start_ms: u64,
    mean_ms: f64,
    random: rand::rngs::SmallRng,
}

impl ServiceTime {
    /// Creates a generator with mean `mean_ms`. Run times are longer during the
    /// first `cold_start_ms` milliseconds.
    #[must_use]
    pub fn new(mean_ms: f64, cold_start_ms: u64, seed: u64) -> Self {
        Self {
            cold_start_ms,
            mean_ms,
            random: rand::rngs::SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns a random run time in milliseconds for a server that started
    /// `uptime_ms` milliseconds ago.
    pub fn sample_ms(&mut self, uptime_ms: u64) -> f64 {
        let uniform: f64 = self.random.random_range(f64::MIN_POSITIVE..1.0);
        let tail = -uniform.ln();
        let relative_time = FIXED_SHARE + (1.0 - FIXED_SHARE) * tail;
        self.mean_ms * relative_time * self.cold_factor(uptime_ms)
    }

    /// Returns `true` at random, in `percent` of the calls.
    pub fn random_bool(&mut self, percent: f64) -> bool {
        self.random.random_range(0.0..100.0) < percent
    }

    fn cold_factor(&self, uptime_ms: u64) -> f64 {
        if uptime_ms >= self.cold_start_ms {
            return 1.0;
        }
        let remaining_cold_ms = u32::try_from(self.cold_start_ms - uptime_ms).unwrap_or(u32::MAX);
        let cold_start_ms = u32::try_from(self.cold_start_ms).unwrap_or(u32::MAX);
        1.0 + (COLD_FACTOR - 1.0) * f64::from(remaining_cold_ms) / f64::from(cold_start_ms)
    }
}
