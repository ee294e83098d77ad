//! What this VM knows of the store, and how new that is.

use std::collections;
use std::sync;

use crate::context;
use crate::gateway;
use crate::gateway::control_thread::fleet_service;
use crate::ports;

/// Time that a message is taken to be under way when ages are passed on, in
/// milliseconds: a trip between regions and a wait in a queue.
const MAX_TRANSIT_MS: u64 = 50;
/// Earlier configurations that are kept to work out what changed: a VM is
/// seldom further behind.
const MAX_EARLIER_CONFIGURATIONS: usize = 16;
/// Time for which a failed read counts, in milliseconds: a VM that is not asked
/// to read may not try again for long.
const FAILURE_RETENTION_MS: u64 = 3_000;

/// What this VM knows of the store, and how new that is.
pub struct StoreCache {
    /// The registry.
    pub backends: gateway::BackendTable,
    /// When no newer configuration existed for certain.
    pub configuration_confirmed_ms: Option<u64>,
    /// Where reading configurations goes on.
    pub configuration_next_offset: Option<u64>,
    /// When a read of the store failed that none has followed yet.
    pub store_failed_ms: Option<u64>,
    earlier_configurations: collections::VecDeque<sync::Arc<ports::FleetConfiguration>>,
    /// The routes in force.
    routes: Option<sync::Arc<gateway::RouteIndex>>,
    clock: sync::Arc<dyn context::Clock>,
}

impl StoreCache {
    /// Gives the knowledge of a VM that has just started.
    #[must_use]
    pub fn new(clock: sync::Arc<dyn context::Clock>) -> Self {
        Self {
            backends: gateway::BackendTable::default(),
            clock,
            configuration_confirmed_ms: None,
            configuration_next_offset: None,
            earlier_configurations: collections::VecDeque::new(),
            routes: None,
            store_failed_ms: None,
        }
    }

    /// Gives the version in force; 0 before the first.
    #[must_use]
    pub fn configuration_version(&self) -> u64 {
        let routes = self.routes.as_ref();
        routes.map_or(0, |routes| routes.configuration.version)
    }

    /// Gives the routes in force.
    #[must_use]
    pub const fn routes(&self) -> Option<&sync::Arc<gateway::RouteIndex>> {
        self.routes.as_ref()
    }

    /// Puts routes in force.
    pub fn set_routes(&mut self, routes: sync::Arc<gateway::RouteIndex>) {
        if let Some(before) = self.routes.replace(routes) {
            self.earlier_configurations
                .push_front(sync::Arc::clone(&before.configuration));
            self.earlier_configurations
                .truncate(MAX_EARLIER_CONFIGURATIONS);
        }
    }

    /// Gives what leads from an earlier version to the one in force, if the
    /// earlier one is still known.
    fn change_since(&self, version: u64) -> Option<ports::ConfigurationChange> {
        let next = &self.routes.as_ref()?.configuration;
        let base = self
            .earlier_configurations
            .iter()
            .find(|earlier| earlier.version == version)?;
        Some(ports::ConfigurationChange::between(base, next))
    }

    /// Takes over how new another VM's knowledge is where both know the same.
    pub fn confirm_from_peer(&mut self, now_ms: u64, summary: &gateway::StateSummary) {
        let confirmed = |age_ms: u64| now_ms.saturating_sub(age_ms + MAX_TRANSIT_MS);
        if summary.registry_offset == self.backends.change_mark()
            && let Some(age_ms) = summary.registry_age_ms
        {
            self.backends.confirm(now_ms, confirmed(age_ms));
        }
        if summary.configuration_version == self.configuration_version()
            && let Some(age_ms) = summary.configuration_age_ms
        {
            let known_ms = self.configuration_confirmed_ms.unwrap_or(0);
            self.configuration_confirmed_ms = Some(known_ms.max(confirmed(age_ms)));
        }
    }

    /// Gives how new this VM's knowledge is.
    #[must_use]
    pub fn summary(&self, now_ms: u64) -> gateway::StateSummary {
        let age = |confirmed_ms: u64| now_ms.saturating_sub(confirmed_ms);
        gateway::StateSummary {
            configuration_age_ms: self.configuration_confirmed_ms.map(age),
            configuration_version: self.configuration_version(),
            registry_age_ms: self.backends.confirmed_ms().map(age),
            registry_offset: self.backends.change_mark(),
            store_fails: self
                .store_failed_ms
                .is_some_and(|failed_ms| now_ms.saturating_sub(failed_ms) < FAILURE_RETENTION_MS),
        }
    }
}

/// Tells whether the registry has been read or pulled as a whole.
#[must_use]
pub fn is_registry_known(cache: &StoreCache) -> bool {
    cache.backends.next_offset().is_some()
}

/// Gives this VM's knowledge to others.
pub struct StoreCacheSource(pub sync::Arc<sync::Mutex<StoreCache>>);

impl fleet_service::StateSource for StoreCacheSource {
    fn state_after(
        &self,
        registry_offset: u64,
        configuration_version: u64,
    ) -> Option<fleet_service::PulledState> {
        let cache = self.0.lock().unwrap_or_else(sync::PoisonError::into_inner);
        let routes = cache.routes.as_ref();
        let newer = routes.filter(|routes| routes.configuration.version > configuration_version);
        let change = newer.and_then(|_| cache.change_since(configuration_version));
        let is_complete = cache.backends.needs_whole(registry_offset);
        let since = if is_complete { 0 } else { registry_offset };
        let now_ms = cache.clock.now_ms();
        let rows = cache.backends.rows_since(now_ms, since);
        Some(fleet_service::PulledState {
            configuration: newer
                .filter(|_| change.is_none())
                .map(|routes| routes.configuration.as_ref().clone()),
            configuration_change: change,
            is_complete,
            summary: cache.summary(now_ms),
            registry_next_offset: cache.backends.next_offset().unwrap_or(0),
            rows: rows.map(|(key, row)| (key.clone(), row)).collect(),
        })
    }
}
