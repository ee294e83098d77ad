//! The configuration that the operator has put in force.

use crate::ports;

/// The configuration that the operator has put in force, whole.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct FleetConfiguration {
    /// Bounds on what a caller may send.
    pub limits: ports::RequestLimits,
    /// All routes.
    pub routes: Vec<ports::Route>,
    /// Names of the services that routes may go to.
    pub services: Vec<String>,
    /// Its version; only grows.
    pub version: u64,
}

impl FleetConfiguration {
    /// Gives the first fault that keeps this configuration out of force.
    #[must_use]
    pub fn validation_error(&self) -> Option<String> {
        let mut prefixes = indexmap::IndexSet::new();
        for route in &self.routes {
            let prefix = (route.host.as_str(), route.path_prefix.as_str());
            if let Some(error) = route.validation_error(&self.services) {
                return Some(format!("route {}: {error}", route.name));
            }
            if !prefixes.insert(prefix) {
                return Some(format!("route {}: host and prefix are taken", route.name));
            }
        }
        None
    }
}
