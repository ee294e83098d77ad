//! A VM as the spread of configuration sees it.

/// A VM as the spread of configuration sees it.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct ReplicationMember {
    /// Availability zone that the VM is in.
    pub availability_zone: String,
    /// Unique name of the VM.
    pub id: String,
    /// Region that the VM is in.
    pub region: String,
}
