//! Picker by uniformly random choice, used as the baseline of measurements.

use rand::Rng as _;
use rand::SeedableRng as _;

use crate::balancing;
use crate::balancing::candidates;
use crate::configs;

/// Picks a random server among those that accept new requests.
#[derive(Clone, Debug)]
pub struct UniformRandom {
    config: configs::balancing::BalancingConfig,
    random: rand::rngs::SmallRng,
}

impl UniformRandom {
    /// Creates a picker.
    #[must_use]
    pub fn new(config: &configs::balancing::BalancingConfig, seed: u64) -> Self {
        Self {
            config: config.clone(),
            random: rand::rngs::SmallRng::seed_from_u64(seed),
        }
    }
}

impl balancing::Picker for UniformRandom {
    fn name(&self) -> &'static str {
        "uniform-random"
    }

    fn observe(&mut self, _now_ms: u64, _event: balancing::PickerEvent<'_>) {}

    fn pick(
        &mut self,
        now_ms: u64,
        request: &balancing::PickRequest<'_>,
        servers: &[balancing::ServerView<'_>],
    ) -> Option<usize> {
        let mut sampled =
            candidates::sample(&self.config, now_ms, request, servers, &mut self.random);
        candidates::restrict_to_region(request, servers, &mut sampled, |_| false);
        if sampled.is_empty() {
            return None;
        }
        Some(sampled[self.random.random_range(0..sampled.len())])
    }
}
