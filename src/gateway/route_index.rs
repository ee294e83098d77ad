//! Finds the route of a request.

use std::sync;

use crate::ports;

/// Routes by host and path prefix; the longest prefix wins.
#[derive(Clone, Debug)]
pub struct RouteIndex {
    hosts: indexmap::IndexMap<String, indexmap::IndexMap<String, usize>>,
    /// What the index was built from.
    pub configuration: sync::Arc<ports::FleetConfiguration>,
}

impl RouteIndex {
    /// Arranges the routes of a configuration.
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
            configuration,
        }
    }

    /// Gives the route for a host header and a path without its query.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&ports::Route> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let prefixes = self.hosts.get(&name.to_ascii_lowercase())?;
        // One look-up for each slash, from the last one back.
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
