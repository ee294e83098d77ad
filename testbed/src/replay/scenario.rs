//! One scenario: what is served, what goes wrong, and under which policies.

use std::fs;

use snafu::ResultExt as _;

use crate::replay;
use crate::replay::region_shape;
use crate::replay::replay_error;
use crate::replay::retry_bounds;
use crate::replay::service_shape;

/// One scenario: what is served, what goes wrong, and under which policies.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Whether refused callers come back when they are told to.
    #[serde(rename = "callers_return")]
    pub callers_honor_retry_after: bool,
    /// Entry VMs that each zone's callers are given.
    pub entry_vms_per_zone: usize,
    /// Length, in seconds.
    pub length_s: u64,
    /// Least share of a service's servers that must be in use, in percent.
    pub min_share_percent: u64,
    /// Its name, for reports.
    pub name: String,
    /// Policies to compare.
    pub policies: Vec<replay::Policy>,
    /// One way between regions, in milliseconds.
    pub region_latency_ms: u64,
    /// Regions with their zones.
    pub regions: Vec<region_shape::RegionShape>,
    /// Bounds of second attempts.
    pub retry: retry_bounds::RetryBounds,
    /// Seed of everything that is drawn.
    pub seed: u64,
    /// Services with their load.
    pub services: Vec<service_shape::ServiceShape>,
    /// What goes wrong.
    #[serde(default, rename = "troubles")]
    pub disturbances: Vec<replay::Disturbance>,
    /// One way within a region, in milliseconds.
    pub zone_latency_ms: u64,
}

impl Scenario {
    /// Reads a scenario file.
    ///
    /// # Errors
    ///
    /// Gives the file and what is wrong with it.
    pub fn load(path: &str) -> Result<Self, replay::ReplayError> {
        let text = fs::read_to_string(path).context(replay_error::ReadSnafu { path })?;
        serde_saphyr::from_str(&text)
            .map_err(Box::new)
            .context(replay_error::ScenarioSnafu { path })
    }

    /// Gives the names of all zones, each with its region.
    #[must_use]
    pub fn zones(&self) -> Vec<(&str, &str)> {
        let regions = self.regions.iter();
        let zones = regions.flat_map(|region| {
            let zones = region.zones.iter();
            zones.map(|zone| (zone.as_str(), region.name.as_str()))
        });
        zones.collect()
    }
}
