//! Messages to other entry VMs about the health of backend servers.

use std::net;
use std::sync;
use std::time;

use crate::daemon;
use crate::health;
use crate::peer;
use crate::telemetry;

/// Time limit of an ejection request. A later response is less useful.
const EJECTION_REQUEST_TIMEOUT: time::Duration = time::Duration::from_millis(300);
/// Time limit of a call that reports health information to a peer.
const SUMMARY_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Sends messages about the health of backend servers to other entry VMs.
pub struct HealthMessages {
    /// Sender of events to the control thread.
    pub events: daemon::ControlSender,
    /// Peer address of this VM.
    pub own_address: net::SocketAddr,
    /// Clients of the other entry VMs.
    pub peers: peer::PeerClients,
}

impl HealthMessages {
    /// Requests an ejection from the service's decider. The response arrives as
    /// a control event.
    pub fn request_ejection(
        &self,
        service: &str,
        request: health::EjectionRequest,
        decider: Option<net::SocketAddr>,
    ) {
        let events = sync::Arc::clone(&self.events);
        let peers = self.peers.clone();
        let service = service.to_owned();
        tokio::spawn(async move {
            let server_id = request.server_id.clone();
            let requested_service = service.clone();
            let response = match decider {
                Some(address) => peers
                    .call(
                        address,
                        EJECTION_REQUEST_TIMEOUT,
                        async |client, context| {
                            client
                                .ask_ejection(context, requested_service, request)
                                .await
                        },
                    )
                    .await
                    .ok()
                    .flatten(),
                None => None,
            };
            let event = daemon::ControlEvent::EjectionResponseReceived {
                response,
                server_id,
                service,
            };
            let _ = events.send(event).await;
        });
    }

    /// Sends this VM's observations of a service's servers to other entry VMs.
    pub fn send_summary(
        &self,
        service: &str,
        summary: &health::Summary,
        peer_addresses: &[net::SocketAddr],
    ) {
        let from = self.own_address;
        for address in peer_addresses.iter().copied() {
            let peers = self.peers.clone();
            let service = service.to_owned();
            let summary = summary.clone();
            tokio::spawn(async move {
                // A failed call is not repeated, because the next summary
                // contains all observations again.
                let _ = peers
                    .call(address, SUMMARY_TIMEOUT, async |client, context| {
                        client.note_summary(context, service, from, summary).await
                    })
                    .await;
            });
        }
    }

    /// Sends the decider's recalls of ejections to the VMs at `peer_addresses` and
    /// to this VM. Recalls are best effort, because every granted ejection expires soon
    /// anyway.
    pub fn send_recalls(
        &self,
        service: &str,
        decider_actions: Vec<health::DeciderAction>,
        peer_addresses: &[net::SocketAddr],
    ) {
        for action in decider_actions {
            let health::DeciderAction::Recall { server_id } = action else {
                continue;
            };
            let own = [self.own_address];
            for address in peer_addresses.iter().chain(&own).copied() {
                let peers = self.peers.clone();
                let (service, server_id) = (service.to_owned(), server_id.clone());
                tokio::spawn(async move {
                    let _ = peers
                        .call(address, SUMMARY_TIMEOUT, async |client, context| {
                            client.recall_ejection(context, service, server_id).await
                        })
                        .await;
                });
            }
        }
    }

    /// Reports a request that crashes servers to other entry VMs.
    pub fn send_quarantine_summary(
        &self,
        summary: &health::QuarantineSummary,
        peer_addresses: &[net::SocketAddr],
    ) {
        for address in peer_addresses.iter().copied() {
            let peers = self.peers.clone();
            let summary = summary.clone();
            tokio::spawn(async move {
                let _ = peers
                    .call(address, SUMMARY_TIMEOUT, async |client, context| {
                        client.note_quarantine(context, summary).await
                    })
                    .await;
            });
        }
    }

    /// Reports to other entry VMs that a server is draining.
    pub fn send_draining(
        &self,
        service: &str,
        server_id: &str,
        peer_addresses: &[net::SocketAddr],
    ) {
        telemetry::Event::ServerDraining
            .info(&format!("{service}: server {server_id} is draining"));
        for address in peer_addresses.iter().copied() {
            let peers = self.peers.clone();
            let (service, server_id) = (service.to_owned(), server_id.to_owned());
            tokio::spawn(async move {
                let _ = peers
                    .call(address, SUMMARY_TIMEOUT, async |client, context| {
                        client.note_draining(context, service, server_id).await
                    })
                    .await;
            });
        }
    }
}
