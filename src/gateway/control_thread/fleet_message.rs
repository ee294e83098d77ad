//! Datagrams between entry VMs.

use crate::admission;
use crate::gateway;
use crate::health;
use crate::membership;

/// Difference of the ages of two states, in milliseconds, from which on the fresher
/// one is worth a reply.
const MIN_FRESHER_MS: u64 = 300;

/// Datagram between entry VMs. Any datagram may be lost.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub enum FleetMessage {
    /// Evidence of a backend server's health from one request that it ran.
    Evidence {
        /// Evidence on the health of the server.
        evidence: gateway::Evidence,

        /// Identifies the server's incarnation.
        #[serde(rename = "lifetime")]
        incarnation: u64,
    },
    /// Load report of the sender: its use of the backend servers and the outcomes
    /// of its requests by service.
    Load(gateway::LoadReport),
    /// Message of the membership protocol.
    Membership(membership::Message),
    /// Versions and age of the sender's copy of the store.
    #[serde(rename = "News")]
    StateSummary(StateSummary),
    /// Summary of a request that crashes servers.
    Quarantine(health::QuarantineSummary),
    /// Reply to a state summary that is older than the sender's.
    StateSummaryReply(StateSummary),
    /// Limit of a backend server, or a request that counts towards it.
    Limit(gateway::LimitNotice),
    /// A backend server, given by its incarnation, has said that it leaves.
    Leaving(u64),
    /// Resources of the sender, which decide whether callers are sent to it.
    Resources {
        /// Resources of the sender.
        resources: gateway::VmResources,
        /// Whether the sender does not know the receiver's resources.
        wants_reply: bool,
    },
    /// Requests that the sender has admitted of organisations with an allowance.
    Usage(admission::UsageReport),
}

/// Versions and age of an entry VM's copy of the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct StateSummary {
    /// Time since the configuration was last known to be the newest, in
    /// milliseconds; `None` if it never was.
    pub configuration_age_ms: Option<u64>,
    /// Version of the configuration in force; 0 before the first.
    pub configuration_version: u64,
    /// Newest version of the configuration that this VM has or has heard of.
    pub newest_known_version: u64,
    /// Time since the registry was last known to be complete, in milliseconds;
    /// `None` if it never was.
    pub registry_age_ms: Option<u64>,
    /// Revision of the registry: the offset after its newest change.
    #[serde(rename = "registry_mark")]
    pub registry_revision: u64,
    /// Whether a read of the store by the sender has failed recently.
    pub store_fails: bool,
}

impl StateSummary {
    /// Returns whether this state includes a newer configuration or registry than
    /// `other`.
    #[must_use]
    pub const fn is_newer_than(&self, other: &Self) -> bool {
        self.configuration_version > other.configuration_version
            || self.registry_revision > other.registry_revision
    }

    /// Returns whether the configuration or the registry was confirmed as the newest
    /// much later than that of `other`, or whether `other` lacks it.
    #[must_use]
    pub fn is_fresher_than(&self, other: &Self) -> bool {
        let is_fresher = |own: Option<u64>, other: Option<u64>| {
            own.is_some_and(|own_ms| {
                other.is_none_or(|other_ms| own_ms + MIN_FRESHER_MS <= other_ms)
            })
        };
        is_fresher(self.configuration_age_ms, other.configuration_age_ms)
            || is_fresher(self.registry_age_ms, other.registry_age_ms)
    }
}
