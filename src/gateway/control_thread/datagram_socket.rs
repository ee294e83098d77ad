//! Datagrams to and from other entry VMs.

use std::net;
use std::sync;

use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use crate::gateway;
use crate::gateway::control_thread::control_event;

/// Size of the receive buffer, in bytes: the largest payload of UDP over IPv4.
const MAX_DATAGRAM_BYTES: usize = 65_507;
/// Maximum number of datagrams that wait until the socket can send them: a few
/// messages to all VMs that serve a region.
const SEND_QUEUE_CAPACITY: usize = 1_024;

/// Socket for datagrams to and from other entry VMs.
///
/// Load pattern: a VM sends the same message to dozens of VMs at once, which is more
/// than the socket's send buffer holds. Datagrams that the socket does not take at
/// once wait in a queue.
pub struct DatagramSocket {
    queue: mpsc::Sender<QueuedDatagram>,
    shared: sync::Arc<gateway::Shared>,
    socket: sync::Arc<UdpSocket>,
}

/// Datagram that waits until the socket can send it.
struct QueuedDatagram {
    payload: bytes::Bytes,
    to: net::SocketAddr,
}

impl DatagramSocket {
    /// Creates a sender and receiver over `socket`, and starts the task that sends
    /// queued datagrams.
    pub fn new(shared: sync::Arc<gateway::Shared>, socket: UdpSocket) -> Self {
        let socket = sync::Arc::new(socket);
        let (queue, queued) = mpsc::channel(SEND_QUEUE_CAPACITY);
        tokio::spawn(send_queued(
            sync::Arc::clone(&shared),
            sync::Arc::clone(&socket),
            queued,
        ));
        Self {
            queue,
            shared,
            socket,
        }
    }

    /// Sends a message to each of the VMs without waiting. Datagrams that neither
    /// the socket nor the queue takes are dropped and counted.
    pub fn send_to_all(&self, message: &gateway::FleetMessage, receivers: &[net::SocketAddr]) {
        let counters = &self.shared.metrics.counters;
        let Ok(payload) = postcard::to_stdvec(message) else {
            counters.add("fleet.encode-failed");
            return;
        };
        let payload = bytes::Bytes::from(payload);
        for to in receivers {
            // Datagrams leave in the order in which they were sent.
            let has_queue = self.queue.capacity() < SEND_QUEUE_CAPACITY;
            if !has_queue && let Ok(length) = self.socket.try_send_to(&payload, *to) {
                counters.add_many("fleet.bytes-out", length as u64);
                continue;
            }
            let queued = QueuedDatagram {
                payload: payload.clone(),
                to: *to,
            };
            if self.queue.try_send(queued).is_err() {
                counters.add("fleet.send-queue-full");
            }
        }
    }

    /// Sends a message to one VM without waiting.
    pub fn send(&self, message: &gateway::FleetMessage, to: net::SocketAddr) {
        self.send_to_all(message, &[to]);
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

/// Sends queued datagrams until the queue is closed.
async fn send_queued(
    shared: sync::Arc<gateway::Shared>,
    socket: sync::Arc<UdpSocket>,
    mut queued: mpsc::Receiver<QueuedDatagram>,
) {
    let counters = &shared.metrics.counters;
    while let Some(datagram) = queued.recv().await {
        counters.add("fleet.send-queued");
        match socket.send_to(&datagram.payload, datagram.to).await {
            Ok(length) => counters.add_many("fleet.bytes-out", length as u64),
            Err(error) => {
                counters.add("fleet.send-failed");
                shared.decision_log.record("fleet.send-failed", || {
                    format!("to={} error=\"{error}\"", datagram.to)
                });
            }
        }
    }
}
