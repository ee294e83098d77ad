//! What the load endpoint answers.

/// What the load endpoint answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct LoadResponse {
    /// Whether the server has stopped taking new work.
    pub draining: bool,
    /// Slots taken, as of the last time they were counted.
    pub in_flight: u32,
    /// Number of slots.
    pub slots: u32,
}
