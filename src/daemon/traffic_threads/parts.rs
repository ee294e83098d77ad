//! Dependencies of the components that process requests.

use std::sync;

use tokio::sync::mpsc;

use crate::claims;
use crate::configs;
use crate::context;
use crate::daemon;
use crate::peer;
use crate::telemetry;

/// Dependencies of a [`daemon::Runner`].
pub struct RunnerParts {
    /// Client that sends requests to backend servers.
    pub client: daemon::ServerClient,
    /// Clock of this process.
    pub clock: sync::Arc<dyn context::Clock>,
    /// Counters of refusals and retries.
    pub counters: sync::Arc<telemetry::Counters>,
    /// Request limits of organisations.
    pub organisation_gate: sync::Arc<daemon::OrganisationGate>,
    /// Queue for the outcome of each attempt.
    pub outcomes: mpsc::Sender<daemon::OutcomeReport>,
    /// Requests that are refused because they crash servers.
    pub quarantine: sync::Arc<daemon::SharedQuarantine>,
    /// Settings of the daemon.
    pub settings: sync::Arc<configs::DaemonConfig>,
    /// Client that requests slots from dispatchers.
    pub slot_client: sync::Arc<daemon::SlotClient>,
    /// Capacity limits of this entry VM.
    pub vm_gate: sync::Arc<daemon::VmGate>,
}

/// Dependencies of a [`daemon::KeyedEntry`].
pub struct KeyedEntryParts {
    /// Client that forwards requests to their home.
    pub client: daemon::ServerClient,
    /// Clock of this process.
    pub clock: sync::Arc<dyn context::Clock>,
    /// Settings of keyed requests.
    pub configs: configs::ClaimsConfig,
    /// Counters of forwarded requests and seals.
    pub counters: sync::Arc<telemetry::Counters>,
    /// Identity of this process.
    pub identity: claims::VmIdentity,
    /// Connections to other entry VMs.
    pub peers: peer::PeerClients,
    /// Store of the keys whose witness is this VM.
    pub witness: sync::Arc<daemon::ClaimWitness>,
}
