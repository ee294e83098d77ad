//! A region of a scenario.

/// A region of a scenario.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RegionShape {
    /// Name of the region.
    pub name: String,
    /// Names of the availability zones of the region.
    pub zones: Vec<String>,
}
