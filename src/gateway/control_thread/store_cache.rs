//! Local copy of the registry and the configuration in the platform's store.

use std::collections;
use std::sync;

use crate::context;
use crate::gateway;
use crate::gateway::control_thread::compact_routes;
use crate::gateway::control_thread::fleet_service;
use crate::gateway::control_thread::pulled_configuration;
use crate::ports;

/// Number of earlier configurations kept for computing the change that a peer
/// needs. A VM is seldom further behind.
const MAX_EARLIER_CONFIGURATIONS: usize = 16;
/// Time for which a failed read is reported to peers, in milliseconds. The
/// limit is needed because a VM that is not a reader may not read again for a
/// long time.
const FAILURE_RETENTION_MS: u64 = 3_000;

/// Local copy of the registry and the configuration in the platform's store, with
/// the times at which they were last known to be the newest.
pub struct StoreCache {
    /// Registry of backend servers.
    pub backends: gateway::BackendTable,
    /// Time at which the configuration was last known to be the newest, in
    /// milliseconds of the process clock; `None` if it never was.
    pub configuration_confirmed_ms: Option<u64>,
    /// Offset at which to continue reading the configuration's changes; `None`
    /// before the first read.
    pub configuration_next_offset: Option<u64>,
    /// Time of the last read of the store if it failed, in milliseconds of the
    /// process clock; `None` after a successful read.
    pub store_failed_ms: Option<u64>,
    /// Newest version of the configuration that a peer has or has heard of.
    pub heard_version: u64,
    earlier_configurations: collections::VecDeque<sync::Arc<ports::FleetConfiguration>>,
    /// Change that was last sent to a peer. Several peers need the same one, each in
    /// several replies.
    last_change: Option<sync::Arc<ports::ConfigurationChange>>,
    /// Routes in force; `None` before the first configuration.
    routes: Option<sync::Arc<gateway::RouteIndex>>,
    clock: sync::Arc<dyn context::Clock>,
}

impl StoreCache {
    /// Creates the empty copy of a VM that has just started.
    #[must_use]
    pub fn new(clock: sync::Arc<dyn context::Clock>) -> Self {
        Self {
            backends: gateway::BackendTable::default(),
            clock,
            configuration_confirmed_ms: None,
            configuration_next_offset: None,
            earlier_configurations: collections::VecDeque::new(),
            heard_version: 0,
            last_change: None,
            routes: None,
            store_failed_ms: None,
        }
    }

    /// Returns the version of the configuration in force; 0 before the first.
    #[must_use]
    pub fn configuration_version(&self) -> u64 {
        let routes = self.routes.as_ref();
        routes.map_or(0, |routes| routes.configuration.version)
    }

    /// Returns the newest version of the configuration that this VM has or has heard of.
    #[must_use]
    pub fn newest_known_version(&self) -> u64 {
        self.configuration_version().max(self.heard_version)
    }

    /// Records that the configuration was known to be the newest at `confirmed_ms`.
    pub fn confirm_configuration(&mut self, confirmed_ms: u64) {
        let known_ms = self.configuration_confirmed_ms.unwrap_or(0);
        self.configuration_confirmed_ms = Some(known_ms.max(confirmed_ms));
    }

    /// Returns the routes in force; `None` before the first configuration.
    #[must_use]
    pub const fn routes(&self) -> Option<&sync::Arc<gateway::RouteIndex>> {
        self.routes.as_ref()
    }

    /// Puts routes in force and keeps the replaced configuration as an earlier
    /// one.
    pub fn set_routes(&mut self, routes: sync::Arc<gateway::RouteIndex>) {
        if let Some(before) = self.routes.replace(routes) {
            self.earlier_configurations
                .push_front(sync::Arc::clone(&before.configuration));
            self.earlier_configurations
                .truncate(MAX_EARLIER_CONFIGURATIONS);
        }
    }

    /// Returns the change to the configuration in force from `version`, or from no
    /// configuration if `version` is no longer stored.
    fn change_since(&mut self, version: u64) -> Option<sync::Arc<ports::ConfigurationChange>> {
        let next = self.routes.as_ref()?.configuration.version;
        let is_base_stored = self.stored(version).is_some();
        let base_version = if is_base_stored { version } else { 0 };
        self.change_between(base_version, next)
    }

    /// Returns the change from one stored configuration to another. Base 0 stands for
    /// no configuration.
    fn change_between(
        &mut self,
        base_version: u64,
        version: u64,
    ) -> Option<sync::Arc<ports::ConfigurationChange>> {
        let last = self.last_change.as_ref();
        let last =
            last.filter(|change| (change.base_version, change.version) == (base_version, version));
        if let Some(change) = last {
            return Some(sync::Arc::clone(change));
        }
        let next = self.stored(version)?;
        let change = if base_version == 0 {
            ports::ConfigurationChange::complete(next)
        } else {
            ports::ConfigurationChange::between(self.stored(base_version)?, next)
        };
        let change = sync::Arc::new(change);
        self.last_change = Some(sync::Arc::clone(&change));
        Some(change)
    }

    /// Returns the configuration of a version: the one in force or an earlier one.
    fn stored(&self, version: u64) -> Option<&sync::Arc<ports::FleetConfiguration>> {
        let in_force = self.routes.as_ref().map(|routes| &routes.configuration);
        let mut stored = in_force.into_iter().chain(&self.earlier_configurations);
        stored.find(|configuration| configuration.version == version)
    }

    /// Applies a peer's confirmation that the registry or the configuration is
    /// the newest, where this copy is at the same revision or version.
    ///
    /// `sent_ms` is the earliest time at which the peer may have made the summary.
    pub fn confirm_from_peer(
        &mut self,
        now_ms: u64,
        sent_ms: u64,
        summary: &gateway::StateSummary,
    ) {
        let confirmed = |age_ms: u64| sent_ms.saturating_sub(age_ms);
        if summary.registry_revision == self.backends.revision()
            && let Some(age_ms) = summary.registry_age_ms
        {
            self.backends.confirm(now_ms, confirmed(age_ms));
        }
        if summary.configuration_version == self.configuration_version()
            && let Some(age_ms) = summary.configuration_age_ms
        {
            self.confirm_configuration(confirmed(age_ms));
        }
    }

    /// Adopts the offset at which a peer continues to read the configuration's changes,
    /// and returns whether the offset of this copy is known.
    ///
    /// A copy that lacks the peer's version keeps its own offset, since the record of
    /// that version lies between the two.
    pub fn adopt_configuration_offset(&mut self, version: u64, next_offset: Option<u64>) -> bool {
        if version <= self.configuration_version() {
            self.configuration_next_offset = self.configuration_next_offset.max(next_offset);
        }
        self.configuration_next_offset.is_some()
    }

    /// Returns the versions and the age of this copy.
    #[must_use]
    pub fn summary(&self, now_ms: u64) -> gateway::StateSummary {
        let age = |confirmed_ms: u64| now_ms.saturating_sub(confirmed_ms);
        gateway::StateSummary {
            configuration_age_ms: self.configuration_confirmed_ms.map(age),
            configuration_version: self.configuration_version(),
            newest_known_version: self.newest_known_version(),
            registry_age_ms: self.backends.confirmed_ms().map(age),
            registry_revision: self.backends.revision(),
            store_fails: self
                .store_failed_ms
                .is_some_and(|failed_ms| now_ms.saturating_sub(failed_ms) < FAILURE_RETENTION_MS),
        }
    }
}

/// Returns whether the complete registry has been read or pulled.
#[must_use]
pub fn is_registry_known(cache: &StoreCache) -> bool {
    cache.backends.next_offset().is_some()
}

/// Serves pulls of other entry VMs from this VM's copy of the store.
pub struct StoreCacheSource(pub sync::Arc<sync::Mutex<StoreCache>>);

impl fleet_service::StateSource for StoreCacheSource {
    fn state_after(
        &self,
        registry_revision: u64,
        configuration_version: u64,
        max_rows: usize,
    ) -> fleet_service::PulledState {
        let mut cache = self.0.lock().unwrap_or_else(sync::PoisonError::into_inner);
        let change = if cache.configuration_version() > configuration_version {
            cache.change_since(configuration_version)
        } else {
            None
        };
        let is_complete = cache.backends.needs_full_table(registry_revision);
        let since = if is_complete { 0 } else { registry_revision };
        let now_ms = cache.clock.now_ms();
        let rows = cache.backends.rows_since(now_ms, since, None, max_rows);
        fleet_service::PulledState {
            configuration: change
                .map(|change| pulled_configuration::PulledConfiguration::first_reply(&change)),
            configuration_next_offset: cache.configuration_next_offset,
            has_more_rows: rows.len() == max_rows,
            is_complete,
            summary: cache.summary(now_ms),
            registry_next_offset: cache.backends.next_offset().unwrap_or(0),
            rows,
        }
    }

    fn rows_after(
        &self,
        registry_revision: u64,
        after_key: &str,
        max_rows: usize,
    ) -> fleet_service::PulledRows {
        let cache = self.0.lock().unwrap_or_else(sync::PoisonError::into_inner);
        let now_ms = cache.clock.now_ms();
        let after_key = Some(after_key);
        let rows = cache
            .backends
            .rows_since(now_ms, registry_revision, after_key, max_rows);
        fleet_service::PulledRows {
            has_more_rows: rows.len() == max_rows,
            rows,
        }
    }

    fn routes_after(
        &self,
        base_version: u64,
        version: u64,
        count: usize,
    ) -> compact_routes::CompactRoutes {
        let mut cache = self.0.lock().unwrap_or_else(sync::PoisonError::into_inner);
        let change = cache.change_between(base_version, version);
        change.map_or_else(compact_routes::CompactRoutes::default, |change| {
            pulled_configuration::routes_after(&change, count)
        })
    }
}
