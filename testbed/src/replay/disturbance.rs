//! One disturbance of a scenario.

use crate::replay;

/// One disturbance of a scenario.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Disturbance {
    /// When it begins, in seconds.
    pub at_s: f64,
    /// How long it lasts, in seconds.
    pub for_s: f64,
    /// What goes wrong.
    pub kind: replay::DisturbanceKind,
    /// Part of the service's servers that it concerns.
    #[serde(default = "all_servers_share")]
    pub server_share: f64,
    /// The service that it concerns; all if left out.
    #[serde(default)]
    pub service: Option<String>,
    /// How strong it is; what that means depends on the kind.
    pub strength: f64,
    /// The zone that it concerns; all if left out.
    #[serde(default)]
    pub zone: Option<String>,
}

const fn all_servers_share() -> f64 {
    1.0
}

impl Disturbance {
    /// Tells whether it is on and concerns a service.
    #[must_use]
    pub fn affects(&self, now_ms: u64, service: &str) -> bool {
        #[expect(clippy::cast_precision_loss, reason = "a scenario lasts minutes")]
        let second = now_ms as f64 / 1_000.0;
        let is_active = second >= self.at_s && second < self.at_s + self.for_s;
        is_active && self.service.as_deref().is_none_or(|name| name == service)
    }
}
