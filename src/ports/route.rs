//! Where requests of a host and path prefix go.

use crate::ports;

/// Where requests of a host and path prefix go.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Route {
    /// The host it serves.
    pub host: String,
    /// What may be repeated.
    pub kind: ports::RequestKind,
    /// Most backend servers that one attempt of a caller may be sent to.
    pub max_attempts: u32,
    /// Its name.
    pub name: String,
    /// What the path begins with; begins and ends with a slash.
    pub path_prefix: String,
    /// Its rank; 0 is the highest.
    pub priority: u32,
    /// Time within which an answer has its full worth, in milliseconds.
    pub target_latency_ms: u64,
    /// The services, with their weights.
    pub targets: Vec<RouteTarget>,
    /// Longest time that a request is kept waiting, in milliseconds.
    pub timeout_ms: u64,
}

/// A service that a route goes to.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct RouteTarget {
    /// Name of the service.
    pub service: String,
    /// Its part of the route's requests, against the others' weights.
    pub weight: u32,
}

impl Route {
    /// Gives the service for a draw in `0..total_weight`.
    #[must_use]
    pub fn target(&self, random_value: u32) -> &str {
        let mut left = random_value;
        for target in &self.targets {
            if left < target.weight {
                return &target.service;
            }
            left -= target.weight;
        }
        self.targets.last().map_or("", |target| &target.service)
    }

    /// Gives the sum of the weights, at least 1.
    #[must_use]
    pub fn total_weight(&self) -> u32 {
        let sum = self.targets.iter().map(|target| target.weight).sum::<u32>();
        sum.max(1)
    }

    /// Gives what keeps the route from being used.
    #[must_use]
    pub fn validation_error(&self, services: &[String]) -> Option<&'static str> {
        let prefix = &self.path_prefix;
        let is_known = |target: &RouteTarget| services.contains(&target.service);
        if self.host.is_empty() {
            Some("no host")
        } else if !prefix.starts_with('/') || !prefix.ends_with('/') {
            Some("the path prefix does not begin and end with a slash")
        } else if self.targets.iter().all(|target| target.weight == 0) {
            Some("no service with a weight")
        } else if !self.targets.iter().all(is_known) {
            Some("a service is not listed")
        } else if self.timeout_ms == 0 {
            Some("the timeout is zero")
        } else {
            None
        }
    }
}
