//! What the control thread learns.

use std::net;

use tokio::sync::oneshot;

use crate::config_fold;
use crate::daemon;
use crate::health;
use crate::log_client;
use crate::membership;
use crate::peer;

/// What the control thread learns.
pub enum ControlEvent {
    /// Another entry VM asks this one, as a service's decider, for an
    /// ejection.
    EjectionAsked {
        /// What it asks.
        ask: health::EjectionRequest,
        /// Takes the answer.
        reply: oneshot::Sender<Option<health::EjectionResponse>>,
        /// The service's name.
        service: String,
    },
    /// The append of a checkpoint has ended, however it went.
    CheckpointAppended,
    /// A server was probed.
    ServersProbed {
        /// When the probes were sent, on the process's clock.
        asked_ms: u64,
        /// The servers that answered, with whether they drain.
        answered: indexmap::IndexMap<String, bool>,
        /// The service's name.
        service: String,
    },
    /// The decider answered, or could not be reached.
    EjectionAnswered {
        /// Its answer.
        answer: Option<health::EjectionResponse>,
        /// The server.
        server_id: String,
        /// The service's name.
        service: String,
    },
    /// It is known whether a server died whose connection broke.
    ServerDeathChecked(daemon::DeathCheck),
    /// A decider wants an ejection given up early.
    EjectionRecalled {
        /// The server.
        server_id: String,
        /// The service's name.
        service: String,
    },
    /// The daemon was told to leave.
    Leave,
    /// The log was read.
    LogRead(Result<log_client::LogBatch, log_client::LogError>),
    /// Another entry VM sent a membership message.
    MembershipMessage {
        /// Its peer address.
        from: net::SocketAddr,
        /// The message.
        message: membership::Message,
    },
    /// Neighbours were asked for their key prefixes.
    NeighboursAsked(Vec<peer::KeyPrefixReply>),
    /// Another entry VM saw a server draining.
    PeerSawDraining {
        /// The server.
        server_id: String,
        /// The service's name.
        service: String,
    },
    /// Another entry VM tells of requests that crash servers.
    PeerSawQuarantine(health::QuarantineSummary),
    /// Another entry VM tells what it saw of a service's servers.
    PeerSummary {
        /// Its peer address.
        from: net::SocketAddr,
        /// The service's name.
        service: String,
        /// What it saw.
        summary: health::Summary,
    },
    /// Another entry VM asks for this one's key prefix.
    PrefixAsked(oneshot::Sender<peer::KeyPrefixReply>),
    /// Another entry VM asks for records.
    RecordsAsked {
        /// Takes the records; nothing while this VM does not serve itself.
        reply: oneshot::Sender<Option<config_fold::RecordBatch>>,
        /// What it asks for.
        request: peer::PullRequest,
    },
    /// The spread of configuration learned something.
    Spread(config_fold::ReplicationEvent),
    /// An operator asks for the VM's status.
    StatusAsked(oneshot::Sender<daemon::VmStatus>),
    /// The VM list was read.
    VmListRead(Result<Vec<log_client::VmEntry>, log_client::LogError>),
}
