//! Configuration of routes, services and limits.

use crate::ports;

/// Complete configuration that the operator has put in force.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct FleetConfiguration {
    /// Path of the health check of each service that names one.
    #[serde(default)]
    pub health_paths: indexmap::IndexMap<String, String>,
    /// Size and time limits on requests.
    pub limits: ports::RequestLimits,
    /// Routes of all hosts.
    pub routes: Vec<ports::Route>,
    /// Names of the services that routes may target.
    pub services: Vec<String>,
    /// Version of the configuration; newer versions are greater.
    pub version: u64,
}

impl FleetConfiguration {
    /// Returns the first error that makes this configuration invalid, or `None`
    /// if it is valid. An invalid configuration does not come into force.
    #[must_use]
    pub fn validation_error(&self) -> Option<String> {
        let mut prefixes = indexmap::IndexSet::new();
        for route in &self.routes {
            let prefix = (route.host.as_str(), route.path_prefix.as_str());
            if let Some(error) = route.validation_error(&self.services) {
                return Some(format!("route {}: {error}", route.name));
            }
            if !prefixes.insert(prefix) {
                return Some(format!(
                    "route {}: another route has the same host and path prefix",
                    route.name
                ));
            }
        }
        None
    }
}
