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
    /// Organisations whose callers identify themselves by keys. If there are none,
    /// requests need no key.
    #[serde(default)]
    pub organisations: Vec<ports::Organisation>,
    /// Routes of all hosts.
    pub routes: Vec<ports::Route>,
    /// Names of the services that routes may target.
    pub services: Vec<String>,
    /// Descriptions of the parts of the record that could not be read and were left
    /// out, such as a route with a missing field.
    #[serde(skip)]
    pub unreadable: Vec<String>,
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
        self.organisation_error()
    }

    /// Returns the first error in the organisations.
    fn organisation_error(&self) -> Option<String> {
        let mut owners = indexmap::IndexMap::new();
        let mut names = indexmap::IndexSet::new();
        for organisation in &self.organisations {
            let name = organisation.name.as_str();
            if name.is_empty() || !name.bytes().all(|byte| byte.is_ascii_graphic()) {
                return Some(format!(
                    "organisation \"{name}\": the name must consist of printable characters \
                     without spaces"
                ));
            }
            if !names.insert(name) {
                return Some(format!("organisation {name}: the name is used twice"));
            }
            for digest in &organisation.key_digests {
                let owner = owners.insert(*digest, name);
                if let Some(owner) = owner.filter(|owner| *owner != name) {
                    return Some(format!(
                        "organisations {owner} and {name} have the same key; remove it from one"
                    ));
                }
            }
        }
        None
    }
}
