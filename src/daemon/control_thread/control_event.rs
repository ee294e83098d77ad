//! Events of the control thread.

use std::net;

use tokio::sync::oneshot;

use crate::config_fold;
use crate::daemon;
use crate::health;
use crate::log_client;
use crate::membership;
use crate::peer;

/// Event that the control thread handles.
pub enum ControlEvent {
    /// Another entry VM requests an ejection from this VM as the service's
    /// decider.
    EjectionRequested {
        /// Requested ejection.
        request: health::EjectionRequest,
        /// Channel for the response, or for `None` if this VM does not know the
        /// service.
        reply: oneshot::Sender<Option<health::EjectionResponse>>,
        /// Name of the service.
        service: String,
    },
    /// The append of a checkpoint succeeded or failed.
    CheckpointAppendFinished,
    /// The servers of a service were probed.
    ServersProbed {
        /// Time at which the probes were started, in milliseconds of the
        /// process's clock.
        requested_ms: u64,
        /// Whether each server is draining, by server id. Servers that did not
        /// respond are missing.
        draining_by_server: indexmap::IndexMap<String, bool>,
        /// Name of the service.
        service: String,
    },
    /// The decider responded to an ejection request or could not be reached.
    EjectionResponseReceived {
        /// Response of the decider, or `None` if it could not be reached.
        response: Option<health::EjectionResponse>,
        /// Id of the server.
        server_id: String,
        /// Name of the service.
        service: String,
    },
    /// The check whether a server died after its connection broke has finished.
    ServerDeathChecked(daemon::CrashCheck),
    /// A decider recalls an ejection before it expires.
    EjectionRecalled {
        /// Id of the server.
        server_id: String,
        /// Name of the service.
        service: String,
    },
    /// The daemon was requested to leave the fleet.
    Leave,
    /// A read of the log returned.
    LogRead(Result<log_client::LogBatch, log_client::LogError>),
    /// Another entry VM sent a membership message.
    MembershipMessage {
        /// Address of the sender.
        from: net::SocketAddr,
        /// Message.
        message: membership::Message,
    },
    /// The query for the key prefixes of the neighbours returned these replies.
    NeighboursQueried(Vec<peer::KeyPrefixReply>),
    /// Another entry VM reported that a server is draining.
    PeerReportedDraining {
        /// Id of the server.
        server_id: String,
        /// Name of the service.
        service: String,
    },
    /// Another entry VM reported requests that crash servers.
    PeerQuarantineSummary(health::QuarantineSummary),
    /// Another entry VM reported its observations of a service's servers.
    PeerHealthSummary {
        /// Peer address of that entry VM.
        from: net::SocketAddr,
        /// Name of the service.
        service: String,
        /// Observations of that entry VM.
        summary: health::Summary,
    },
    /// Another entry VM requests the key prefix of this VM.
    KeyPrefixRequested(oneshot::Sender<peer::KeyPrefixReply>),
    /// Another entry VM requests configuration records.
    RecordsRequested {
        /// Channel for the records, or for `None` until this VM is ready to
        /// serve requests.
        reply: oneshot::Sender<Option<config_fold::RecordBatch>>,
        /// Requested records.
        request: peer::PullRequest,
    },
    /// Event of the replication of configuration records.
    Replication(config_fold::ReplicationEvent),
    /// An operator requests the status of this VM.
    StatusRequested(oneshot::Sender<daemon::VmStatus>),
    /// A read of the VM list returned.
    VmListRead(Result<Vec<log_client::VmEntry>, log_client::LogError>),
}
