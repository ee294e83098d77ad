//! Methods that entry VMs call on each other.

use crate::claims;
use crate::config_fold;
use crate::health;
use crate::peer;

/// Methods that an entry VM offers to other entry VMs.
///
/// Method and argument names are part of the JSON messages.
#[tarpc::service]
pub trait PeerService {
    /// Decides on an ejection request. Returns `None` if this VM is not the
    /// service's decider.
    async fn ask_ejection(
        service: String,
        ask: health::EjectionRequest,
    ) -> Option<health::EjectionResponse>;
    /// Requests a slot of a backend server for a request of the VM at `from`.
    /// Returns `None` if this VM is not the service's dispatcher.
    async fn ask_slot(
        service: String,
        from: std::net::SocketAddr,
        ask: peer::SlotRequest,
    ) -> Option<peer::SlotResponse>;
    /// Records a claim on this VM as the witness.
    async fn claim(claim: claims::Claim) -> claims::ClaimReply;
    /// Transfers claims from a leaving home.
    async fn hand_over(batch: claims::HandOverBatch);
    /// Returns the state of this VM, with the key prefix for which it is the
    /// home; `None` while its daemon stops.
    async fn key_prefix() -> Option<peer::KeyPrefixReply>;
    /// Reports that a backend server is draining.
    async fn note_draining(service: String, server_id: String);
    /// Reports the offset of the next configuration record that the VM `vm_id`
    /// has to fold.
    async fn note_offset(vm_id: String, next_offset: u64);
    /// Reports requests that crash backend servers.
    async fn note_quarantine(summary: health::QuarantineSummary);
    /// Reports the outcomes that the VM at `from` observed with a service's
    /// servers.
    async fn note_summary(service: String, from: std::net::SocketAddr, summary: health::Summary);
    /// Sends the dispatcher's later response to a queued slot request.
    async fn note_slot(service: String, request_id: u64, answer: peer::SlotResponse);
    /// Returns configuration records; `None` while this VM is not ready to
    /// serve requests, because an incomplete history may contain an older
    /// bundle.
    async fn pull_records(request: peer::PullRequest) -> Option<config_fold::RecordBatch>;
    /// Ends an ejection early, on behalf of the service's decider.
    async fn recall_ejection(service: String, server_id: String);
    /// Releases the slot of a request of the VM at `from`.
    async fn return_slot(service: String, from: std::net::SocketAddr, request_id: u64);
    /// Seals a key on this VM as the witness.
    async fn seal(seal: claims::Seal) -> claims::SealReply;
}
