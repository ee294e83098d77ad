//! Answers the messages of other entry VMs.

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

/// Most connections of other entry VMs.
const MAX_PEER_CONNECTIONS: usize = 1_024;
/// Most messages of one connection that are answered at a time.
const MAX_MESSAGES_PER_CONNECTION: usize = 256;

/// Answers the messages of other entry VMs: claims and seals at once, the rest
/// through the control thread.
#[derive(Clone)]
pub struct PeerHandler {
    /// The control thread.
    pub control: mpsc::Sender<daemon::ControlEvent>,
    /// Asks dispatchers for slots.
    pub slot_client: sync::Arc<daemon::SlotClient>,
    /// Dispatchers of this VM.
    pub slot_server: sync::Arc<daemon::SlotServer>,
    /// Keys whose witness is this VM.
    pub witness: sync::Arc<daemon::ClaimWitness>,
}

impl PeerHandler {
    /// Serves other entry VMs on `address` until the process ends.
    ///
    /// # Errors
    ///
    /// Gives the operating system's error when the port cannot be opened.
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
        let Ok(transport) = peer::transport::over(stream) else {
            return;
        };
        tarpc::server::BaseChannel::with_defaults(transport)
            .execute(peer::PeerService::serve(self))
            .for_each_concurrent(MAX_MESSAGES_PER_CONNECTION, |reply| reply)
            .await;
    }

    async fn tell(&self, event: daemon::ControlEvent) {
        // The control thread ends only with the process.
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
        let (reply, answer) = oneshot::channel();
        self.tell(daemon::ControlEvent::EjectionAsked {
            ask,
            reply,
            service,
        })
        .await;
        answer.await.ok().flatten()
    }

    async fn ask_slot(
        self,
        _: tarpc::context::Context,
        service: String,
        from: net::SocketAddr,
        ask: peer::SlotAsk,
    ) -> Option<peer::SlotAnswer> {
        self.slot_server.ask(&service, from, &ask)
    }

    async fn claim(self, _: tarpc::context::Context, claim: claims::Claim) -> claims::ClaimReply {
        self.witness.claim(claim)
    }

    async fn hand_over(self, _: tarpc::context::Context, batch: claims::HandOverBatch) {
        self.witness.hand_over(batch);
    }

    async fn key_prefix(self, _: tarpc::context::Context) -> Option<peer::KeyPrefixReply> {
        let (reply, answer) = oneshot::channel();
        self.tell(daemon::ControlEvent::PrefixAsked(reply)).await;
        answer.await.ok()
    }

    async fn note_draining(self, _: tarpc::context::Context, service: String, server_id: String) {
        self.tell(daemon::ControlEvent::PeerSawDraining { server_id, service })
            .await;
    }

    async fn note_offset(self, _: tarpc::context::Context, vm_id: String, next_offset: u64) {
        let event = crate::config_fold::ReplicationEvent::PeerOffsetReceived {
            next_offset,
            peer: vm_id,
        };
        self.tell(daemon::ControlEvent::Spread(event)).await;
    }

    async fn note_quarantine(self, _: tarpc::context::Context, summary: health::QuarantineSummary) {
        self.tell(daemon::ControlEvent::PeerSawQuarantine(summary))
            .await;
    }

    async fn note_summary(
        self,
        _: tarpc::context::Context,
        service: String,
        from: net::SocketAddr,
        summary: health::Summary,
    ) {
        self.tell(daemon::ControlEvent::PeerSummary {
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
        answer: peer::SlotAnswer,
    ) {
        self.slot_client.answered(&service, request_id, answer);
    }

    async fn pull_records(
        self,
        _: tarpc::context::Context,
        request: peer::PullRequest,
    ) -> Option<config_fold::RecordBatch> {
        let (reply, answer) = oneshot::channel();
        self.tell(daemon::ControlEvent::RecordsAsked { reply, request })
            .await;
        answer.await.ok().flatten()
    }

    async fn recall_ejection(self, _: tarpc::context::Context, service: String, server_id: String) {
        self.tell(daemon::ControlEvent::EjectionRecalled { server_id, service })
            .await;
    }

    async fn return_slot(
        self,
        _: tarpc::context::Context,
        service: String,
        from: net::SocketAddr,
        request_id: u64,
    ) {
        self.slot_server.give_back(&service, from, request_id);
    }

    async fn seal(self, _: tarpc::context::Context, seal: claims::Seal) -> claims::SealReply {
        self.witness.seal(seal)
    }
}
