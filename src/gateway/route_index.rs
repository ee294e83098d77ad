//! Lookup of the route of a request.

use std::sync;

use crate::gateway;
use crate::ports;

/// Index of the routes by host and path prefix, of which the longest matching one
/// applies, and of the organisations.
#[derive(Clone, Debug)]
pub struct RouteIndex {
    hosts: indexmap::IndexMap<String, indexmap::IndexMap<String, usize>>,
    /// The configuration that the index was built from.
    pub configuration: sync::Arc<ports::FleetConfiguration>,
    /// Index of the configuration's organisations.
    pub organisations: gateway::OrganisationIndex,
}

impl RouteIndex {
    /// Builds the index of a configuration.
    #[must_use]
    pub fn build(configuration: sync::Arc<ports::FleetConfiguration>) -> Self {
        let mut hosts: indexmap::IndexMap<String, indexmap::IndexMap<String, usize>> =
            indexmap::IndexMap::new();
        for (index, route) in configuration.routes.iter().enumerate() {
            let host = route.host.to_ascii_lowercase();
            let prefixes = hosts.entry(host).or_default();
            prefixes.insert(route.path_prefix.clone(), index);
        }
        Self {
            hosts,
            organisations: gateway::OrganisationIndex::build(sync::Arc::clone(&configuration)),
            configuration,
        }
    }

    /// Returns the route for a `Host` header and a path without query; `None` if no
    /// route matches.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&ports::Route> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let prefixes = self.hosts.get(&name.to_ascii_lowercase())?;
        // One lookup for each slash, from the last to the first.
        let mut end = path.len();
        while let Some(slash) = path[..end].rfind('/') {
            if let Some(&index) = prefixes.get(&path[..=slash]) {
                return self.configuration.routes.get(index);
            }
            end = slash;
        }
        None
    }
}
