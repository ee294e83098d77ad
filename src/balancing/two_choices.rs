//! Picker by the power of two choices with reported load.

use rand::Rng as _;
use rand::SeedableRng as _;

use crate::balancing;
use crate::balancing::candidates;
use crate::balancing::load_estimate;
use crate::configs;

/// Samples two servers at random and picks the one with the lower estimated
/// load.
///
/// The estimate combines the last load report of a server with the requests
/// that this VM has sent since. Of two servers with equal load, one in this
/// VM's availability zone is preferred.
#[derive(Clone, Debug)]
pub struct TwoChoices {
    config: configs::balancing::BalancingConfig,
    load: load_estimate::LoadEstimate,
    random: rand::rngs::SmallRng,
}

impl TwoChoices {
    /// Creates a picker without recorded events.
    #[must_use]
    pub fn new(config: &configs::balancing::BalancingConfig, seed: u64) -> Self {
        Self {
            config: config.clone(),
            load: load_estimate::LoadEstimate::default(),
            random: rand::rngs::SmallRng::seed_from_u64(seed),
        }
    }

    fn rank(&self, now_ms: u64, view: &balancing::ServerView<'_>) -> (u64, bool) {
        let load_permille = self.load.load_permille(&self.config, now_ms, view);
        (load_permille, !view.same_zone)
    }
}

impl balancing::Picker for TwoChoices {
    fn name(&self) -> &'static str {
        "two-choices"
    }

    fn observe(&mut self, now_ms: u64, event: balancing::PickerEvent<'_>) {
        self.load.observe(&self.config, now_ms, event);
    }

    fn pick(
        &mut self,
        now_ms: u64,
        request: &balancing::PickRequest<'_>,
        servers: &[balancing::ServerView<'_>],
    ) -> Option<usize> {
        self.load.update(servers);
        let mut sampled =
            candidates::sample(&self.config, now_ms, request, servers, &mut self.random);
        candidates::restrict_to_region(request, servers, &mut sampled, |view| {
            self.load.load_permille(&self.config, now_ms, view) >= 1_000
        });
        if sampled.is_empty() {
            return None;
        }
        let first = sampled.swap_remove(self.random.random_range(0..sampled.len()));
        if sampled.is_empty() {
            return Some(first);
        }
        let second = sampled[self.random.random_range(0..sampled.len())];
        let first_rank = self.rank(now_ms, &servers[first]);
        let second_rank = self.rank(now_ms, &servers[second]);
        Some(if second_rank < first_rank {
            second
        } else {
            first
        })
    }
}
