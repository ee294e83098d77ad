//! What differs between two configurations.

use crate::ports;

/// What differs between two configurations, so that a new version of tens of
/// thousands of routes does not travel whole.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct ConfigurationChange {
    /// The version that it applies to.
    pub base_version: u64,
    /// Bounds on what a caller may send.
    pub limits: ports::RequestLimits,
    /// Host and path prefix of routes that are no longer there.
    pub removed: Vec<(String, String)>,
    /// Routes that are new or changed.
    pub routes: Vec<ports::Route>,
    /// Names of the services.
    pub services: Vec<String>,
    /// The version that it leads to.
    pub version: u64,
}

impl ConfigurationChange {
    /// Gives what leads from `base` to `next`.
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
            limits: next.limits,
            removed: removed
                .map(|(host, prefix)| ((*host).to_owned(), (*prefix).to_owned()))
                .collect(),
            routes: changed.cloned().collect(),
            services: next.services.clone(),
            version: next.version,
        }
    }

    /// Gives the configuration that it leads to; nothing from another base.
    #[must_use]
    pub fn apply(&self, base: &ports::FleetConfiguration) -> Option<ports::FleetConfiguration> {
        if base.version != self.base_version {
            return None;
        }
        let mut routes: indexmap::IndexMap<(&str, &str), &ports::Route> = by_host_and_prefix(base);
        for (host, prefix) in &self.removed {
            routes.shift_remove(&(host.as_str(), prefix.as_str()));
        }
        for route in &self.routes {
            routes.insert((route.host.as_str(), route.path_prefix.as_str()), route);
        }
        Some(ports::FleetConfiguration {
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
