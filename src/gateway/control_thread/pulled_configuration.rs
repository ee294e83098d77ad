//! Change of the configuration, as one entry VM sends it to another.

use crate::gateway::control_thread::compact_routes;
use crate::ports;

/// Maximum number of routes in one reply.
///
/// Such a reply takes a sixth of a second on a quarter of a link of 10 Mbit/s.
pub const MAX_REPLY_ROUTES: usize = 400;

/// Change of the configuration with its first routes.
///
/// The other routes follow in further replies, so that each reply passes a slow link
/// within the timeout of a call, however large the configuration is.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct PulledConfiguration {
    /// Change without the routes that follow in further replies.
    #[serde(flatten)]
    pub head: ChangeHead,
    /// Number of routes of the whole change.
    pub route_count: usize,
    /// Routes received so far.
    pub routes: compact_routes::CompactRoutes,
}

/// Change of the configuration without its routes.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct ChangeHead {
    /// Version that the change applies to; 0 if it applies to any.
    pub base_version: u64,
    /// Path of the health check of each service that names one in the new version.
    #[serde(default)]
    pub health_paths: indexmap::IndexMap<String, String>,
    /// Size and time limits on requests in the new version.
    pub limits: ports::RequestLimits,
    /// Organisations that the new version adds or changes.
    #[serde(default)]
    pub organisations: Vec<ports::Organisation>,
    /// Positions of the routes that need no key, among all routes of the change.
    #[serde(default)]
    pub public_routes: Vec<usize>,
    /// Host and path prefix of each route that the new version removes.
    pub removed: Vec<(String, String)>,
    /// Names of the organisations that the new version removes.
    #[serde(default)]
    pub removed_organisations: Vec<String>,
    /// Names of all services in the new version.
    pub services: Vec<String>,
    /// Version that results from the change.
    pub version: u64,
}

impl PulledConfiguration {
    /// Returns the first reply that carries `change`.
    #[must_use]
    pub fn first_reply(change: &ports::ConfigurationChange) -> Self {
        Self {
            head: ChangeHead {
                base_version: change.base_version,
                health_paths: change.health_paths.clone(),
                limits: change.limits,
                organisations: change.organisations.clone(),
                public_routes: change.public_routes.clone(),
                removed: change.removed.clone(),
                removed_organisations: change.removed_organisations.clone(),
                services: change.services.clone(),
                version: change.version,
            },
            route_count: change.routes.len(),
            routes: routes_after(change, 0),
        }
    }

    /// Returns whether all routes were received.
    #[must_use]
    pub const fn is_complete(&self) -> bool {
        self.routes.0.len() >= self.route_count
    }

    /// Returns the change, which must be complete.
    #[must_use]
    pub fn into_change(self) -> ports::ConfigurationChange {
        ports::ConfigurationChange {
            base_version: self.head.base_version,
            health_paths: self.head.health_paths,
            limits: self.head.limits,
            organisations: self.head.organisations,
            public_routes: self.head.public_routes,
            removed: self.head.removed,
            removed_organisations: self.head.removed_organisations,
            routes: self.routes.0,
            services: self.head.services,
            version: self.head.version,
        }
    }
}

/// Returns the routes of a change that follow the first `count`, as many as fit in a
/// reply.
#[must_use]
pub fn routes_after(
    change: &ports::ConfigurationChange,
    count: usize,
) -> compact_routes::CompactRoutes {
    let routes = change.routes.iter().skip(count).take(MAX_REPLY_ROUTES);
    compact_routes::CompactRoutes(routes.cloned().collect())
}
