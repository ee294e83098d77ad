//! Region and its availability zones.

/// Region and its availability zones.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RegionShape {
    /// Names of the availability zones.
    pub availability_zones: Vec<&'static str>,
    /// Name of the region.
    pub name: &'static str,
}
