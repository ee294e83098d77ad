//! Difference between two configurations.

use crate::ports;

/// Difference between two configurations. A configuration may have tens of
/// thousands of routes, so VMs send each other only the routes that changed.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct ConfigurationChange {
    /// Version that the change applies to; 0 if it contains the complete
    /// configuration and applies to any.
    pub base_version: u64,
    /// Path of the health check of each service that names one in the new version.
    #[serde(default)]
    pub health_paths: indexmap::IndexMap<String, String>,
    /// Size and time limits on requests in the new version.
    pub limits: ports::RequestLimits,
    /// Host and path prefix of each route that the new version removes.
    pub removed: Vec<(String, String)>,
    /// Routes that the new version adds or changes.
    pub routes: Vec<ports::Route>,
    /// Names of all services in the new version.
    pub services: Vec<String>,
    /// Version that results from the change.
    pub version: u64,
}

impl ConfigurationChange {
    /// Computes the change from `base` to `next`.
    #[must_use]
    pub fn between(base: &ports::FleetConfiguration, next: &ports::FleetConfiguration) -> Self {
        let base_routes = by_host_and_prefix(base);
        let next_routes = by_host_and_prefix(next);
        let changed = next.routes.iter().filter(|route| {
            let key = (route.host.as_str(), route.path_prefix.as_str());
            base_routes.get(&key) != Some(route)
        });
        let removed = base_routes
            .keys()
            .filter(|key| !next_routes.contains_key(*key));
        Self {
            base_version: base.version,
            health_paths: next.health_paths.clone(),
            limits: next.limits,
            removed: removed
                .map(|(host, prefix)| ((*host).to_owned(), (*prefix).to_owned()))
                .collect(),
            routes: changed.cloned().collect(),
            services: next.services.clone(),
            version: next.version,
        }
    }

    /// Returns the change from no configuration to `next`.
    #[must_use]
    pub fn complete(next: &ports::FleetConfiguration) -> Self {
        Self {
            base_version: 0,
            health_paths: next.health_paths.clone(),
            limits: next.limits,
            removed: Vec::new(),
            routes: next.routes.clone(),
            services: next.services.clone(),
            version: next.version,
        }
    }

    /// Applies the change to `base`. Returns `None` if `base` is not the
    /// version that the change applies to.
    #[must_use]
    pub fn apply(
        &self,
        base: Option<&ports::FleetConfiguration>,
    ) -> Option<ports::FleetConfiguration> {
        let base = base.filter(|base| base.version == self.base_version);
        if base.is_none() && self.base_version != 0 {
            return None;
        }
        let mut routes = base.map_or_else(indexmap::IndexMap::new, by_host_and_prefix);
        for (host, prefix) in &self.removed {
            routes.shift_remove(&(host.as_str(), prefix.as_str()));
        }
        for route in &self.routes {
            routes.insert((route.host.as_str(), route.path_prefix.as_str()), route);
        }
        Some(ports::FleetConfiguration {
            health_paths: self.health_paths.clone(),
            limits: self.limits,
            routes: routes.into_values().cloned().collect(),
            services: self.services.clone(),
            version: self.version,
        })
    }
}

fn by_host_and_prefix(
    configuration: &ports::FleetConfiguration,
) -> indexmap::IndexMap<(&str, &str), &ports::Route> {
    let routes = configuration.routes.iter();
    let keyed = routes.map(|route| ((route.host.as_str(), route.path_prefix.as_str()), route));
    keyed.collect()
}
