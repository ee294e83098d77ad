//! Rate and concurrency limits of organisations.

use std::mem;

use rand::Rng as _;
use rand::SeedableRng as _;
use xxhash_rust::xxh3;

use crate::admission::organisation_usage;
use crate::bundle;
use crate::configs::admission;
use crate::verdict;

/// Number of entries checked for eviction per request.
const EVICTION_CHECK_COUNT: usize = 2;
/// Retry delay of an organisation with too many requests in flight.
const IN_FLIGHT_RETRY_AFTER_MS: u64 = 250;

/// Limits the request rate and the requests in flight of each organisation.
///
/// Entries are keyed by a seeded 64-bit hash of the organisation id, so every
/// entry has the same size (see [`Self::bytes_per_organisation`]). An entry
/// whose token bucket is full and that has no requests in flight is evicted,
/// which changes no decision. When all entries are in use, an entry without
/// requests in flight is evicted before its bucket is full: that organisation
/// may then exceed its limit by up to one burst.
#[derive(Clone, Debug)]
pub struct OrganisationLimiter {
    max_count: usize,
    random: rand::rngs::SmallRng,
    seed: u64,
    eviction_index: usize,
    usages: indexmap::IndexMap<u64, organisation_usage::OrganisationUsage>,
}

impl OrganisationLimiter {
    /// Creates a limiter without entries.
    #[must_use]
    pub fn new(config: &admission::AdmissionConfig, seed: u64) -> Self {
        Self {
            max_count: config.organisation_count.max(1),
            random: rand::rngs::SmallRng::seed_from_u64(seed),
            seed,
            eviction_index: 0,
            usages: indexmap::IndexMap::new(),
        }
    }

    /// Returns the memory used per organisation, in bytes: key, usage, hash and
    /// its share of the index, at full capacity.
    #[must_use]
    pub const fn bytes_per_organisation() -> usize {
        let entry = mem::size_of::<(u64, organisation_usage::OrganisationUsage, usize)>();
        entry + mem::size_of::<usize>() * 8 / 7
    }

    /// Returns the number of entries.
    #[must_use]
    pub fn organisation_count(&self) -> usize {
        self.usages.len()
    }

    /// Admits a request of the organisation.
    ///
    /// # Errors
    ///
    /// Returns a refusal when the organisation exceeds one of its limits.
    pub fn try_start(
        &mut self,
        now_ms: u64,
        organisation: &str,
        limit: &bundle::OrganisationLimit,
    ) -> Result<(), verdict::Refusal> {
        self.evict_idle(now_ms);
        let key = self.key(organisation);
        if !self.usages.contains_key(&key) {
            self.evict_if_full(now_ms);
        }
        let usage = self.usages.entry(key);
        let usage = usage.or_insert_with(|| organisation_usage::OrganisationUsage::idle(now_ms));
        match usage.try_start(now_ms, limit) {
            Ok(()) => Ok(()),
            Err(wait_ms) => Err(self.refuse(wait_ms)),
        }
    }

    /// Releases an admitted request of the organisation.
    pub fn finish(&mut self, organisation: &str) {
        let key = self.key(organisation);
        if let Some(usage) = self.usages.get_mut(&key) {
            usage.finish();
        }
    }

    fn key(&self, organisation: &str) -> u64 {
        xxh3::xxh3_64_with_seed(organisation.as_bytes(), self.seed)
    }

    fn refuse(&mut self, wait_ms: u64) -> verdict::Refusal {
        let wait_ms = wait_ms.max(IN_FLIGHT_RETRY_AFTER_MS);
        let jitter_ms = self.random.random_range(0..=wait_ms);
        verdict::Refusal::not_run(
            verdict::RefusalReason::OrganisationLimit,
            wait_ms + jitter_ms,
        )
    }

    fn evict_idle(&mut self, now_ms: u64) {
        for _ in 0..EVICTION_CHECK_COUNT {
            if self.eviction_index >= self.usages.len() {
                self.eviction_index = 0;
            }
            let Some((_, usage)) = self.usages.get_index_mut(self.eviction_index) else {
                return;
            };
            if usage.is_idle(now_ms) {
                self.usages.swap_remove_index(self.eviction_index);
            } else {
                self.eviction_index += 1;
            }
        }
    }

    fn evict_if_full(&mut self, now_ms: u64) {
        let mut checked_count = 0;
        while self.usages.len() >= self.max_count && checked_count <= self.usages.len() {
            self.eviction_index = (self.eviction_index + 1) % self.usages.len();
            checked_count += 1;
            let usage = self.usages.get_index_mut(self.eviction_index);
            let usage = usage.map(|(_, usage)| usage);
            if usage.is_some_and(|usage| usage.is_idle(now_ms) || !usage.is_in_flight()) {
                self.usages.swap_remove_index(self.eviction_index);
            }
        }
    }
}
