//! What this VM knows of the store, and how new that is.

use std::collections;
use std::sync;

use crate::context;
use crate::gateway;
use crate::gateway::control_thread::fleet_service;
use crate::ports;

/// Time that a message is taken to be under way when ages are passed on, in
/// milliseconds: a trip between regions and a wait in a queue.
const TRANSIT_MS: u64 = 50;
/// Earlier configurations that are kept to work out what changed: a VM is
/// seldom further behind.
const EARLIER_CONFIGURATIONS: usize = 16;
/// Time for which a failed read counts, in milliseconds: a VM that is not asked
/// to read may not try again for long.
const FAILURE_MEMORY_MS: u64 = 3_000;

/// What this VM knows of the store, and how new that is.
pub struct Knowledge {
    /// The registry.
    pub backends: gateway::BackendTable,
    /// When no newer configuration existed for certain.
    pub configuration_confirmed_ms: Option<u64>,
    /// Where reading configurations goes on.
    pub configuration_next_offset: Option<u64>,
    /// When a read of the store failed that none has followed yet.
    pub store_failed_ms: Option<u64>,
    earlier: collections::VecDeque<sync::Arc<ports::FleetConfiguration>>,
    /// The routes in force.
    routes: Option<sync::Arc<gateway::RouteIndex>>,
    clock: sync::Arc<dyn context::Clock>,
}

impl Knowledge {
    /// Gives the knowledge of a VM that has just started.
    #[must_use]
    pub fn new(clock: sync::Arc<dyn context::Clock>) -> Self {
        Self {
            backends: gateway::BackendTable::default(),
            clock,
            configuration_confirmed_ms: None,
            configuration_next_offset: None,
            earlier: collections::VecDeque::new(),
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
            self.earlier
                .push_front(sync::Arc::clone(&before.configuration));
            self.earlier.truncate(EARLIER_CONFIGURATIONS);
        }
    }

    /// Gives what leads from an earlier version to the one in force, if the
    /// earlier one is still known.
    fn change_since(&self, version: u64) -> Option<ports::ConfigurationChange> {
        let next = &self.routes.as_ref()?.configuration;
        let base = self
            .earlier
            .iter()
            .find(|earlier| earlier.version == version)?;
        Some(ports::ConfigurationChange::between(base, next))
    }

    /// Takes over how new another VM's knowledge is where both know the same.
    pub fn confirm_from(&mut self, now_ms: u64, news: &gateway::News) {
        let confirmed = |age_ms: u64| now_ms.saturating_sub(age_ms + TRANSIT_MS);
        if news.registry_mark == self.backends.revision()
            && let Some(age_ms) = news.registry_age_ms
        {
            self.backends.confirm(now_ms, confirmed(age_ms));
        }
        if news.configuration_version == self.configuration_version()
            && let Some(age_ms) = news.configuration_age_ms
        {
            let known_ms = self.configuration_confirmed_ms.unwrap_or(0);
            self.configuration_confirmed_ms = Some(known_ms.max(confirmed(age_ms)));
        }
    }

    /// Gives how new this VM's knowledge is.
    #[must_use]
    pub fn news(&self, now_ms: u64) -> gateway::News {
        let age = |confirmed_ms: u64| now_ms.saturating_sub(confirmed_ms);
        gateway::News {
            configuration_age_ms: self.configuration_confirmed_ms.map(age),
            configuration_version: self.configuration_version(),
            registry_age_ms: self.backends.confirmed_ms().map(age),
            registry_mark: self.backends.revision(),
            store_fails: self
                .store_failed_ms
                .is_some_and(|failed_ms| now_ms.saturating_sub(failed_ms) < FAILURE_MEMORY_MS),
        }
    }
}

/// Tells whether the registry has been read or pulled as a whole.
#[must_use]
pub fn is_known(knowledge: &Knowledge) -> bool {
    knowledge.backends.next_offset().is_some()
}

/// Gives this VM's knowledge to others.
pub struct KnowledgeSource(pub sync::Arc<sync::Mutex<Knowledge>>);

impl fleet_service::StateSource for KnowledgeSource {
    fn state_after(
        &self,
        registry_mark: u64,
        configuration_version: u64,
    ) -> Option<fleet_service::PulledState> {
        let knowledge = self.0.lock().unwrap_or_else(sync::PoisonError::into_inner);
        let routes = knowledge.routes.as_ref();
        let newer = routes.filter(|routes| routes.configuration.version > configuration_version);
        let change = newer.and_then(|_| knowledge.change_since(configuration_version));
        let is_whole = knowledge.backends.needs_full_table(registry_mark);
        let since = if is_whole { 0 } else { registry_mark };
        let now_ms = knowledge.clock.now_ms();
        let rows = knowledge.backends.rows_since(now_ms, since);
        Some(fleet_service::PulledState {
            configuration: newer
                .filter(|_| change.is_none())
                .map(|routes| routes.configuration.as_ref().clone()),
            configuration_change: change,
            is_whole,
            news: knowledge.news(now_ms),
            registry_next_offset: knowledge.backends.next_offset().unwrap_or(0),
            rows: rows.map(|(key, row)| (key.clone(), row)).collect(),
        })
    }
}
