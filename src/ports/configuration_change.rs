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
    /// Organisations that the new version adds or changes.
    #[serde(default)]
    pub organisations: Vec<ports::Organisation>,
    /// Positions in `routes` of those that need no key.
    #[serde(default)]
    pub public_routes: Vec<usize>,
    /// Host and path prefix of each route that the new version removes.
    pub removed: Vec<(String, String)>,
    /// Names of the organisations that the new version removes.
    #[serde(default)]
    pub removed_organisations: Vec<String>,
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
        let changed: Vec<ports::Route> = changed.cloned().collect();
        let removed = base_routes
            .keys()
            .filter(|key| !next_routes.contains_key(*key));
        let base_organisations = by_name(base);
        let next_organisations = by_name(next);
        let changed_organisations = next.organisations.iter().filter(|organisation| {
            base_organisations.get(organisation.name.as_str()) != Some(organisation)
        });
        let removed_organisations = base_organisations
            .keys()
            .filter(|name| !next_organisations.contains_key(*name));
        Self {
            base_version: base.version,
            health_paths: next.health_paths.clone(),
            limits: next.limits,
            organisations: changed_organisations.cloned().collect(),
            public_routes: public_routes(&changed),
            removed: removed
                .map(|(host, prefix)| ((*host).to_owned(), (*prefix).to_owned()))
                .collect(),
            removed_organisations: removed_organisations
                .map(|name| (*name).to_owned())
                .collect(),
            routes: changed,
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
            organisations: next.organisations.clone(),
            public_routes: public_routes(&next.routes),
            removed: Vec::new(),
            removed_organisations: Vec::new(),
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
        let mut routes: Vec<ports::Route> = routes.into_values().cloned().collect();
        self.mark_public_routes(&mut routes);
        let mut organisations = base.map_or_else(indexmap::IndexMap::new, by_name);
        for name in &self.removed_organisations {
            organisations.shift_remove(name.as_str());
        }
        for organisation in &self.organisations {
            organisations.insert(organisation.name.as_str(), organisation);
        }
        Some(ports::FleetConfiguration {
            health_paths: self.health_paths.clone(),
            limits: self.limits,
            organisations: organisations.into_values().cloned().collect(),
            routes,
            services: self.services.clone(),
            unreadable: Vec::new(),
            version: self.version,
        })
    }

    /// Marks the changed routes that need no key. Routes received from another VM do
    /// not carry the mark themselves.
    fn mark_public_routes(&self, routes: &mut [ports::Route]) {
        let public: indexmap::IndexSet<(&str, &str)> = self
            .public_routes
            .iter()
            .filter_map(|index| self.routes.get(*index))
            .map(|route| (route.host.as_str(), route.path_prefix.as_str()))
            .collect();
        for route in routes {
            let key = (route.host.as_str(), route.path_prefix.as_str());
            route.is_public |= public.contains(&key);
        }
    }
}

fn by_host_and_prefix(
    configuration: &ports::FleetConfiguration,
) -> indexmap::IndexMap<(&str, &str), &ports::Route> {
    let routes = configuration.routes.iter();
    let keyed = routes.map(|route| ((route.host.as_str(), route.path_prefix.as_str()), route));
    keyed.collect()
}

fn by_name(
    configuration: &ports::FleetConfiguration,
) -> indexmap::IndexMap<&str, &ports::Organisation> {
    let organisations = configuration.organisations.iter();
    let named = organisations.map(|organisation| (organisation.name.as_str(), organisation));
    named.collect()
}

/// Returns the positions of the routes that need no key.
fn public_routes(routes: &[ports::Route]) -> Vec<usize> {
    let routes = routes.iter().enumerate();
    let public = routes.filter(|(_, route)| route.is_public);
    public.map(|(index, _)| index).collect()
}
