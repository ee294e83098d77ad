//! Run times of requests, by route.

use xxhash_rust::xxh3;

use crate::gateway::run_time;
use crate::ports;

/// Maximum number of routes whose run times are kept. The route that was added first is
/// dropped for the next one.
const MAX_ROUTES: usize = 1_024;

/// Run times of requests, by the hash of the route's name.
#[derive(Debug, Default)]
pub struct RunTimes {
    by_route: indexmap::IndexMap<u64, run_time::RunTime>,
}

impl RunTimes {
    /// Adds the run time of a request that got a response.
    pub fn record(&mut self, route: &ports::Route, run_ms: u64) {
        let hash = route_hash(route);
        if let Some(known) = self.by_route.get_mut(&hash) {
            return known.record(run_ms);
        }
        if self.by_route.len() >= MAX_ROUTES {
            self.by_route.shift_remove_index(0);
        }
        self.by_route.insert(hash, run_time::RunTime::new(run_ms));
    }

    /// Returns a run time that few of the route's requests exceed, in milliseconds;
    /// `None` before the first response.
    #[must_use]
    pub fn high_ms(&self, route: &ports::Route) -> Option<u64> {
        let known = self.by_route.get(&route_hash(route));
        known.map(run_time::RunTime::high_ms)
    }
}

fn route_hash(route: &ports::Route) -> u64 {
    xxh3::xxh3_64(route.name.as_bytes())
}
