//! Disturbance of a scenario.

use crate::replay;

/// Fault of backend servers or change in the callers' behavior during a part of
/// a scenario.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Disturbance {
    /// Start, in seconds from the start of the scenario.
    pub at_s: f64,
    /// Duration, in seconds.
    pub for_s: f64,
    /// Kind of disturbance.
    pub kind: replay::DisturbanceKind,
    /// Share of the service's servers that are affected, from 0 to 1.
    #[serde(default = "all_servers_share")]
    pub server_share: f64,
    /// Affected service; `None` for all services.
    #[serde(default)]
    pub service: Option<String>,
    /// Strength; see [`replay::DisturbanceKind`] for its meaning.
    pub strength: f64,
    /// Affected availability zone; `None` for all zones.
    #[serde(default)]
    pub zone: Option<String>,
}

const fn all_servers_share() -> f64 {
    1.0
}

impl Disturbance {
    /// Returns whether the disturbance is active at `now_ms` and affects a service.
    #[must_use]
    pub fn affects(&self, now_ms: u64, service: &str) -> bool {
        #[expect(clippy::cast_precision_loss, reason = "a scenario lasts minutes")]
        let second = now_ms as f64 / 1_000.0;
        let is_active = second >= self.at_s && second < self.at_s + self.for_s;
        is_active && self.service.as_deref().is_none_or(|name| name == service)
    }
}
