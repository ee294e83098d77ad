//! Faults injected by tests.

/// Faults that are injected into the platform.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Appends accepted per second over all streams. Further appends are
    /// rejected with status 429 and have no effect. `None` sets no limit.
    pub append_rate_per_s: Option<u32>,
    /// Delay of each response, in milliseconds.
    pub delay_ms: u64,
    /// Whether all endpoints except `/faults` are out of service.
    pub down: bool,
    /// Number of coming appends that take effect without a response.
    pub lose_replies: u32,
    /// Number of records that each stream retains; `None` sets no limit.
    pub retention_records: Option<usize>,
}

impl Faults {
    /// Returns these faults with the fields in `update` replaced.
    ///
    /// # Errors
    ///
    /// Returns an error if `update` is not a JSON object, or contains an
    /// unknown field or a value of the wrong type.
    pub fn updated(&self, update: &[u8]) -> Result<Self, serde_json::Error> {
        let fields: serde_json::Map<String, serde_json::Value> = serde_json::from_slice(update)?;
        let mut merged = serde_json::to_value(self)?;
        if let Some(current) = merged.as_object_mut() {
            current.extend(fields);
        }
        serde_json::from_value(merged)
    }
}
