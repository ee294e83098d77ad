//! Arguments of `measure-capacity`.

use std::str;

/// Measures the memory and time that a number of servers, organisations or VMs
/// takes in one daemon. Each process measures a single number.
#[derive(Clone, Debug, gumdrop::Options)]
pub struct CapacityArgs {
    /// Prints this help.
    pub help: bool,
    /// What to measure: detector, fold, organisation-limits, organisations,
    /// servers or subset.
    #[options(no_short, required, meta = "ROLE")]
    pub role: CapacityRole,
    /// Number of servers, organisations or VMs.
    #[options(no_short, required, meta = "N")]
    pub count: usize,
}

/// What a capacity measurement scales.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum CapacityRole {
    /// Backend servers of one service whose health a detector estimates.
    Detector,
    /// Backend servers in a bundle that is proposed, signed off and rolled out.
    Fold,
    /// Organisations with limits in a bundle.
    OrganisationLimits,
    /// Organisations whose requests a limiter tracks.
    Organisations,
    /// Backend servers in a bundle that is parsed, checked and built into a route
    /// table.
    #[default]
    Servers,
    /// Entry VMs of a region that each connect to a subset of a service's
    /// backend servers there.
    Subset,
}

impl str::FromStr for CapacityRole {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "detector" => Ok(Self::Detector),
            "fold" => Ok(Self::Fold),
            "organisation-limits" => Ok(Self::OrganisationLimits),
            "organisations" => Ok(Self::Organisations),
            "servers" => Ok(Self::Servers),
            "subset" => Ok(Self::Subset),
            other => Err(format!("unknown role {other}")),
        }
    }
}
