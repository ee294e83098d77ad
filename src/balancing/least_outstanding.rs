//! Picker by least outstanding requests.

use rand::Rng as _;
use rand::SeedableRng as _;

use crate::balancing;
use crate::balancing::candidates;
use crate::configs;

/// Picks the server on which this VM has the fewest requests in flight per
/// slot, with ties broken at random.
#[derive(Clone, Debug)]
pub struct LeastOutstanding {
    config: configs::balancing::BalancingConfig,
    random: rand::rngs::SmallRng,
}

impl LeastOutstanding {
    /// Creates a picker.
    #[must_use]
    pub fn new(config: &configs::balancing::BalancingConfig, seed: u64) -> Self {
        Self {
            config: config.clone(),
            random: rand::rngs::SmallRng::seed_from_u64(seed),
        }
    }
}

impl balancing::Picker for LeastOutstanding {
    fn name(&self) -> &'static str {
        "least-outstanding"
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
        candidates::restrict_to_region(request, servers, &mut sampled, |view| {
            view.own_in_flight_requests >= view.slot_count
        });
        let random = &mut self.random;
        sampled.into_iter().min_by_key(|&index| {
            let view = &servers[index];
            let load_permille =
                u64::from(view.own_in_flight_requests) * 1_000 / u64::from(view.slot_count);
            (load_permille, random.random::<u32>())
        })
    }
}
