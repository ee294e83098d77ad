//! Datagrams between entry VMs.

use crate::gateway;
use crate::health;
use crate::membership;

/// A datagram between entry VMs. Any of them may be lost.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub enum FleetMessage {
    /// What one request says of the server that ran it.
    Evidence {
        /// What it says.
        evidence: gateway::Evidence,

        /// Names the server's incarnation.
        #[serde(rename = "lifetime")]
        incarnation: u64,
    },
    /// Requests that the sender has in flight.
    Load(gateway::LoadReport),
    /// A message of the membership.
    Membership(membership::Message),
    /// How new the sender's knowledge is.
    News(News),
    /// A request that crashes servers.
    Quarantine(health::QuarantineSummary),
}

/// How new a VM's knowledge of the store is.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct News {
    /// Age of the proof that no newer configuration exists, in milliseconds.
    pub configuration_age_ms: Option<u64>,
    /// The configuration in force; 0 before the first.
    pub configuration_version: u64,
    /// Age of the proof that the registry is complete, in milliseconds.
    pub registry_age_ms: Option<u64>,
    /// Offset after the registry's newest change.
    pub registry_mark: u64,
    /// Whether the sender's reads of the store fail.
    pub store_fails: bool,
}
