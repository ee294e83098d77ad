//! Routes from hosts and path prefixes to services.

use crate::ports;

/// Route from a host and path prefix to services.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Route {
    /// Host of the requests.
    pub host: String,
    /// Whether requests are served without a key although the configuration names
    /// organisations.
    ///
    /// Not part of the encoding of a route: entry VMs of earlier builds decode routes by
    /// position. [`ports::ConfigurationChange`] carries it beside the routes.
    #[serde(skip)]
    pub is_public: bool,
    /// Whether the requests may run more than once.
    pub kind: ports::RequestKind,
    /// Maximum number of backend servers to which one attempt of a caller may
    /// be sent.
    pub max_attempts: u32,
    /// Name of the route.
    pub name: String,
    /// Prefix of the path; begins and ends with a slash.
    pub path_prefix: String,
    /// Priority of the requests; 0 is the highest.
    pub priority: u32,
    /// Latency that the operator aims at, in milliseconds. No decision on a request
    /// depends on it.
    pub target_latency_ms: u64,
    /// Services that the requests are split between, with their weights.
    pub targets: Vec<RouteTarget>,
    /// Time after which a request without a response fails, in milliseconds.
    pub timeout_ms: u64,
}

/// Service that a route sends requests to.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct RouteTarget {
    /// Name of the service.
    pub service: String,
    /// Weight of the service, relative to the sum of the weights of all targets
    /// of the route.
    pub weight: u32,
}

impl Route {
    /// Returns the service for a random value in `0..total_weight`.
    #[must_use]
    pub fn target(&self, random_value: u64) -> &str {
        let mut remaining = random_value;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if remaining < weight {
                return &target.service;
            }
            remaining -= weight;
        }
        self.targets.last().map_or("", |target| &target.service)
    }

    /// Returns the sum of the weights, at least 1.
    #[must_use]
    pub fn total_weight(&self) -> u64 {
        let weights = self.targets.iter().map(|target| u64::from(target.weight));
        weights.sum::<u64>().max(1)
    }

    /// Returns why the route is invalid, or `None` if it is valid. `services`
    /// are the services of the configuration.
    #[must_use]
    pub fn validation_error(&self, services: &[String]) -> Option<&'static str> {
        let prefix = &self.path_prefix;
        let is_known = |target: &RouteTarget| services.contains(&target.service);
        if self.host.is_empty() {
            Some("the host is empty")
        } else if !prefix.starts_with('/') || !prefix.ends_with('/') {
            Some("the path prefix must begin and end with a slash")
        } else if self.targets.iter().all(|target| target.weight == 0) {
            Some("no target service has a weight above 0")
        } else if !self.targets.iter().all(is_known) {
            Some("a target service is not in the list of services")
        } else if self.timeout_ms == 0 {
            Some("the timeout must be above 0")
        } else {
            None
        }
    }
}
