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
        let known = by_place(base);
        let kept = by_place(next);
        let changed = next.routes.iter().filter(|route| {
            let place = (route.host.as_str(), route.path_prefix.as_str());
            known.get(&place) != Some(route)
        });
        let removed = known.keys().filter(|place| !kept.contains_key(*place));
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
        let mut routes: indexmap::IndexMap<(&str, &str), &ports::Route> = by_place(base);
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

fn by_place(
    configuration: &ports::FleetConfiguration,
) -> indexmap::IndexMap<(&str, &str), &ports::Route> {
    let routes = configuration.routes.iter();
    let placed = routes.map(|route| ((route.host.as_str(), route.path_prefix.as_str()), route));
    placed.collect()
}
