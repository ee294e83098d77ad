//! Scenario of a replay.

use std::fs;

use snafu::ResultExt as _;

use crate::replay;
use crate::replay::region_shape;
use crate::replay::replay_error;
use crate::replay::retry_limits;
use crate::replay::service_shape;

/// Scenario of a replay: services with their load, disturbances and the policies
/// to compare.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Whether callers resend refused requests after the retry-after time.
    #[serde(rename = "callers_return")]
    pub callers_honor_retry_after: bool,
    /// Entry VMs in each availability zone.
    pub entry_vms_per_zone: usize,
    /// Duration, in seconds.
    pub length_s: u64,
    /// Minimum share of a service's servers that must be in use, in percent.
    pub min_share_percent: u64,
    /// Name of the scenario, for reports.
    pub name: String,
    /// Policies to compare.
    pub policies: Vec<replay::Policy>,
    /// One-way latency between regions, in milliseconds.
    pub region_latency_ms: u64,
    /// Regions with their availability zones.
    pub regions: Vec<region_shape::RegionShape>,
    /// Limits on retries.
    pub retry: retry_limits::RetryLimits,
    /// Seed of all random values.
    pub seed: u64,
    /// Services with their load.
    pub services: Vec<service_shape::ServiceShape>,
    /// Disturbances. Of several active ones of a kind, the first applies, except
    /// that the strengths of bursts are multiplied.
    #[serde(default, rename = "troubles")]
    pub disturbances: Vec<replay::Disturbance>,
    /// One-way latency within a region, in milliseconds.
    pub zone_latency_ms: u64,
}

impl Scenario {
    /// Reads a scenario from a YAML file.
    ///
    /// # Errors
    ///
    /// Returns an error with the path if the file cannot be read or is not a valid
    /// scenario.
    pub fn load(path: &str) -> Result<Self, replay::ReplayError> {
        let text = fs::read_to_string(path).context(replay_error::ReadSnafu { path })?;
        serde_saphyr::from_str(&text)
            .map_err(Box::new)
            .context(replay_error::ScenarioSnafu { path })
    }

    /// Returns the names of all availability zones, each with the name of its region.
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
