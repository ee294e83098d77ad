//! VM that takes part in replication.

/// VM that takes part in replication.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct ReplicationMember {
    /// Availability zone of the VM.
    pub availability_zone: String,
    /// Unique id of the VM.
    pub id: String,
    /// Region of the VM.
    pub region: String,
}
