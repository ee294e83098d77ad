//! Datagrams to and from other entry VMs.

use std::net;
use std::sync;

use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use crate::gateway;
use crate::gateway::control_thread::control_event;

/// Size of the receive buffer, in bytes: the largest payload of UDP over IPv4.
const MAX_DATAGRAM_BYTES: usize = 65_507;

/// Socket for datagrams to and from other entry VMs.
pub struct DatagramSocket {
    shared: sync::Arc<gateway::Shared>,
    socket: sync::Arc<UdpSocket>,
}

impl DatagramSocket {
    /// Creates a sender and receiver over `socket`.
    pub fn new(shared: sync::Arc<gateway::Shared>, socket: UdpSocket) -> Self {
        Self {
            shared,
            socket: sync::Arc::new(socket),
        }
    }

    /// Sends a message without waiting. A message that cannot be sent at once is
    /// dropped and counted.
    pub fn send(&self, message: &gateway::FleetMessage, to: net::SocketAddr) {
        let counters = &self.shared.metrics.counters;
        let Ok(datagram) = postcard::to_stdvec(message) else {
            counters.add("fleet.encode-failed");
            return;
        };
        match self.socket.try_send_to(&datagram, to) {
            Ok(length) => counters.add_many("fleet.bytes-out", length as u64),
            Err(_) => counters.add("fleet.send-failed"),
        }
    }

    /// Starts a task that receives datagrams and forwards them as control
    /// events.
    pub fn start_receiving(&self, events: mpsc::Sender<control_event::ControlEvent>) {
        let socket = sync::Arc::clone(&self.socket);
        let shared = sync::Arc::clone(&self.shared);
        tokio::spawn(async move {
            let mut datagram = vec![0; MAX_DATAGRAM_BYTES];
            loop {
                let Ok((length, from)) = socket.recv_from(&mut datagram).await else {
                    shared.metrics.counters.add("fleet.receive-failed");
                    continue;
                };
                let counters = &shared.metrics.counters;
                counters.add_many("fleet.bytes-in", length as u64);
                let Ok(message) = postcard::from_bytes(&datagram[..length]) else {
                    counters.add("fleet.message-invalid");
                    shared.decision_log.record("fleet.message-invalid", || {
                        format!("from={from} bytes={length}")
                    });
                    continue;
                };
                let event = control_event::ControlEvent::Datagram { from, message };
                if events.send(event).await.is_err() {
                    return;
                }
            }
        });
    }
}
