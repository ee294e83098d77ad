//! Server side of the calls between entry VMs.

use std::net;
use std::sync;

use futures::StreamExt as _;
use tarpc::server::Channel as _;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::claims;
use crate::config_fold;
use crate::daemon;
use crate::health;
use crate::peer;

/// Maximum number of connections from other entry VMs.
const MAX_PEER_CONNECTIONS: usize = 1_024;
/// Maximum number of calls of one connection that are handled concurrently.
const MAX_MESSAGES_PER_CONNECTION: usize = 256;

/// Handles the calls of other entry VMs. Calls about claims and slots are
/// handled directly; all other calls are passed to the control thread.
#[derive(Clone)]
pub struct PeerHandler {
    /// Sender of events to the control thread.
    pub control: mpsc::Sender<daemon::ControlEvent>,
    /// Client that requests slots from dispatchers.
    pub slot_client: sync::Arc<daemon::SlotClient>,
    /// Dispatchers that run on this VM.
    pub slot_server: sync::Arc<daemon::SlotServer>,
    /// Keys for which this VM is the witness.
    pub witness: sync::Arc<daemon::ClaimWitness>,
}

impl PeerHandler {
    /// Handles the connections of other entry VMs on `address` until the process
    /// ends.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if the port cannot be bound.
    pub async fn serve(self, address: net::SocketAddr) -> std::io::Result<()> {
        let listener = TcpListener::bind(address).await?;
        let connections = sync::Arc::new(Semaphore::new(MAX_PEER_CONNECTIONS));
        loop {
            let Ok(permit) = sync::Arc::clone(&connections).acquire_owned().await else {
                return Ok(());
            };
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            let handler = self.clone();
            tokio::spawn(async move {
                handler.serve_connection(stream).await;
                drop(permit);
            });
        }
    }

    async fn serve_connection(self, stream: TcpStream) {
        let Ok(transport) = peer::transport::from_stream(stream) else {
            return;
        };
        tarpc::server::BaseChannel::with_defaults(transport)
            .execute(peer::PeerService::serve(self))
            .for_each_concurrent(MAX_MESSAGES_PER_CONNECTION, |reply| reply)
            .await;
    }

    async fn send_to_control(&self, event: daemon::ControlEvent) {
        // Sending fails only after the control thread has ended, and it ends
        // only with the process.
        let _ = self.control.send(event).await;
    }
}

impl peer::PeerService for PeerHandler {
    async fn ask_ejection(
        self,
        _: tarpc::context::Context,
        service: String,
        ask: health::EjectionRequest,
    ) -> Option<health::EjectionResponse> {
        let (reply, response) = oneshot::channel();
        self.send_to_control(daemon::ControlEvent::EjectionRequested {
            request: ask,
            reply,
            service,
        })
        .await;
        response.await.ok().flatten()
    }

    async fn ask_slot(
        self,
        _: tarpc::context::Context,
        service: String,
        from: net::SocketAddr,
        ask: peer::SlotRequest,
    ) -> Option<peer::SlotResponse> {
        self.slot_server.request_slot(&service, from, &ask)
    }

    async fn claim(self, _: tarpc::context::Context, claim: claims::Claim) -> claims::ClaimReply {
        self.witness.claim(claim)
    }

    async fn hand_over(self, _: tarpc::context::Context, batch: claims::HandOverBatch) {
        self.witness.hand_over(batch);
    }

    async fn key_prefix(self, _: tarpc::context::Context) -> Option<peer::KeyPrefixReply> {
        let (reply, response) = oneshot::channel();
        self.send_to_control(daemon::ControlEvent::KeyPrefixRequested(reply))
            .await;
        response.await.ok()
    }

    async fn note_draining(self, _: tarpc::context::Context, service: String, server_id: String) {
        self.send_to_control(daemon::ControlEvent::PeerReportedDraining { server_id, service })
            .await;
    }

    async fn note_offset(self, _: tarpc::context::Context, vm_id: String, next_offset: u64) {
        let event = crate::config_fold::ReplicationEvent::PeerOffsetReceived {
            next_offset,
            peer: vm_id,
        };
        self.send_to_control(daemon::ControlEvent::Replication(event))
            .await;
    }

    async fn note_quarantine(self, _: tarpc::context::Context, summary: health::QuarantineSummary) {
        self.send_to_control(daemon::ControlEvent::PeerQuarantineSummary(summary))
            .await;
    }

    async fn note_summary(
        self,
        _: tarpc::context::Context,
        service: String,
        from: net::SocketAddr,
        summary: health::Summary,
    ) {
        self.send_to_control(daemon::ControlEvent::PeerHealthSummary {
            from,
            service,
            summary,
        })
        .await;
    }

    async fn note_slot(
        self,
        _: tarpc::context::Context,
        service: String,
        request_id: u64,
        answer: peer::SlotResponse,
    ) {
        self.slot_client
            .handle_response(&service, request_id, answer);
    }

    async fn pull_records(
        self,
        _: tarpc::context::Context,
        request: peer::PullRequest,
    ) -> Option<config_fold::RecordBatch> {
        let (reply, response) = oneshot::channel();
        self.send_to_control(daemon::ControlEvent::RecordsRequested { reply, request })
            .await;
        response.await.ok().flatten()
    }

    async fn recall_ejection(self, _: tarpc::context::Context, service: String, server_id: String) {
        self.send_to_control(daemon::ControlEvent::EjectionRecalled { server_id, service })
            .await;
    }

    async fn return_slot(
        self,
        _: tarpc::context::Context,
        service: String,
        from: net::SocketAddr,
        request_id: u64,
    ) {
        self.slot_server.return_slot(&service, from, request_id);
    }

    async fn seal(self, _: tarpc::context::Context, seal: claims::Seal) -> claims::SealReply {
        self.witness.seal(seal)
    }
}
