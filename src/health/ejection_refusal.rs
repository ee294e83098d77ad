//! Reason for refusing an ejection.

/// Reason for refusing an ejection.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EjectionRefusal {
    /// The ejection would reduce the healthy capacity below the floor.
    Floor,
    /// Most of the service's servers are suspected, so the cause is unlikely to
    /// be a single server.
    MajoritySuspected,
    /// The decider holds no lease.
    NoLease,
    /// The lease of an earlier decider may still be valid.
    PreviousLease,
    /// The decider has no recent states of the servers.
    StaleView,
    /// The service has no such server.
    UnknownServer,
}

impl EjectionRefusal {
    /// Returns the name of the reason in counters and logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Floor => "floor",
            Self::MajoritySuspected => "majority-suspected",
            Self::NoLease => "no-lease",
            Self::PreviousLease => "previous-lease",
            Self::StaleView => "stale-view",
            Self::UnknownServer => "unknown-server",
        }
    }
}
