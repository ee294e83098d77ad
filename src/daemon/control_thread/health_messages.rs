//! Sends messages about backend servers' health to other entry VMs.

use std::net;
use std::sync;
use std::time;

use crate::daemon;
use crate::health;
use crate::peer;
use crate::telemetry;

/// Longest wait for the decider's answer. A late answer is worth less.
const EJECTION_REQUEST_TIMEOUT: time::Duration = time::Duration::from_millis(300);
/// Longest wait for a peer to take a summary.
const SUMMARY_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Sends messages about backend servers' health to other entry VMs.
pub struct HealthMessages {
    /// Sends events back to the control thread.
    pub events: daemon::ControlSender,
    /// This VM's peer address.
    pub own_address: net::SocketAddr,
    /// Connections to other entry VMs.
    pub peers: peer::PeerClients,
}

impl HealthMessages {
    /// Asks the holder of the service's lease for an ejection.
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

    /// Tells other entry VMs what this one saw of a service's servers.
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
                // The next summary carries everything again.
                let _ = peers
                    .call(address, SUMMARY_TIMEOUT, async |client, context| {
                        client.note_summary(context, service, from, summary).await
                    })
                    .await;
            });
        }
    }

    /// Tells the holders which ejections to give up early: a hint, since every
    /// grant ends by itself soon.
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

    /// Tells other entry VMs of requests that crash servers.
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

    /// Tells other entry VMs that a server is draining.
    pub fn send_draining(
        &self,
        service: &str,
        server_id: &str,
        peer_addresses: &[net::SocketAddr],
    ) {
        telemetry::Event::ServerDraining.info(&format!("{service}: {server_id} is draining"));
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
