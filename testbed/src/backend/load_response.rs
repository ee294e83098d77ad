//! Response of the load endpoint.

/// Response of the load endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct LoadResponse {
    /// Whether the server refuses new requests.
    pub draining: bool,
    /// Number of slots in use at the last update.
    pub in_flight: u32,
    /// Number of slots.
    pub slots: u32,
}
