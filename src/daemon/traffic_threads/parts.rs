//! What the carriers of requests are made of.

use std::sync;

use tokio::sync::mpsc;

use crate::claims;
use crate::configs;
use crate::context;
use crate::daemon;
use crate::peer;
use crate::telemetry;

/// What a [`daemon::Runner`] is made of.
pub struct RunnerParts {
    /// Sends requests.
    pub client: daemon::ServerClient,
    /// Source of time.
    pub clock: sync::Arc<dyn context::Clock>,
    /// Counts refusals and retries.
    pub counters: sync::Arc<telemetry::Counters>,
    /// Limits of organisations.
    pub limiter: sync::Arc<daemon::OrganisationGate>,
    /// Takes the outcome of each attempt.
    pub outcomes: mpsc::Sender<daemon::OutcomeReport>,
    /// Requests that are refused because they crash servers.
    pub quarantine: sync::Arc<daemon::SharedQuarantine>,
    /// The daemon's settings.
    pub settings: sync::Arc<configs::DaemonConfig>,
    /// Asks dispatchers for slots.
    pub slots: sync::Arc<daemon::SlotClient>,
    /// Limits of this VM as a whole.
    pub vm_gate: sync::Arc<daemon::VmGate>,
}

/// What a [`daemon::KeyedEntry`] is made of.
pub struct KeyedEntryParts {
    /// Sends requests to their home.
    pub client: daemon::ServerClient,
    /// Source of time.
    pub clock: sync::Arc<dyn context::Clock>,
    /// Settings of at-most-once.
    pub configs: configs::ClaimsConfig,
    /// Counts what was asked.
    pub counters: sync::Arc<telemetry::Counters>,
    /// This process.
    pub identity: claims::VmIdentity,
    /// Connections to other entry VMs.
    pub peers: peer::PeerClients,
    /// Answers for keys whose witness is this VM.
    pub witness: sync::Arc<daemon::ClaimWitness>,
}
