//! The messages that entry VMs send each other.

use crate::claims;
use crate::config_fold;
use crate::health;
use crate::peer;

/// What an entry VM does for others.
#[tarpc::service]
pub trait PeerService {
    /// Answers an ejection ask, if this VM is the service's decider.
    async fn ask_ejection(
        service: String,
        ask: health::EjectionRequest,
    ) -> Option<health::EjectionResponse>;
    /// Answers an ask for a slot, if this VM dispatches the service.
    async fn ask_slot(
        service: String,
        from: std::net::SocketAddr,
        ask: peer::SlotRequest,
    ) -> Option<peer::SlotResponse>;
    /// Records a claim as the witness.
    async fn claim(claim: claims::Claim) -> claims::ClaimReply;
    /// Takes over keys of a leaving home.
    async fn hand_over(batch: claims::HandOverBatch);
    /// Gives a key prefix for this VM as home; nothing while it stops.
    async fn key_prefix() -> Option<peer::KeyPrefixReply>;
    /// Learns that a backend server is draining.
    async fn note_draining(service: String, server_id: String);
    /// Learns how far another entry VM has folded the configuration.
    async fn note_offset(vm_id: String, next_offset: u64);
    /// Learns of requests that crash backend servers.
    async fn note_quarantine(summary: health::QuarantineSummary);
    /// Learns what another entry VM saw of a service's servers.
    async fn note_summary(service: String, from: std::net::SocketAddr, summary: health::Summary);
    /// Learns a dispatcher's answer to an earlier ask.
    async fn note_slot(service: String, request_id: u64, answer: peer::SlotResponse);
    /// Gives configuration records; nothing while it stops.
    async fn pull_records(request: peer::PullRequest) -> Option<config_fold::RecordBatch>;
    /// Gives an ejection up early, at the decider's wish.
    async fn recall_ejection(service: String, server_id: String);
    /// Takes a slot back.
    async fn return_slot(service: String, from: std::net::SocketAddr, request_id: u64);
    /// Seals a key as the witness.
    async fn seal(seal: claims::Seal) -> claims::SealReply;
}
