//! Parameters of a pick.

/// Constraints of one request on the choice of its backend server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PickRequest<'a> {
    /// Ids of backend servers that must not be picked, such as one on which the
    /// request failed.
    pub excluded: &'a [&'a str],
    /// Whether a backend server in another region may be picked when this
    /// region has no free capacity.
    pub may_spill: bool,
}
