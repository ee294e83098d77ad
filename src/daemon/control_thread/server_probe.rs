//! Probes of backend servers: whether they are up, and whether they drain.

use std::io;
use std::net;
use std::sync;
use std::time;

use futures::future;
use tokio::net::TcpStream;

use crate::daemon;
use crate::daemon::traffic_threads::header_names;

/// Longest wait for a server that is probed. A probe takes about 25 ms.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// Path that is probed. What it says of health is not believed; that it
/// answers, and whether it drains, is.
const PROBE_PATH: &str = "/health";

/// Waits before looking whether a server is dead whose connection broke, in
/// milliseconds. A process that is just ending still accepts connections.
const DEATH_CHECK_WAITS_MS: [u64; 3] = [0, 30, 120];

/// Gives whether the server refuses connections, now or a moment later. A
/// server that does not answer at all is not known to be dead.
pub async fn refuses_connections(address: net::SocketAddr) -> bool {
    for wait_ms in DEATH_CHECK_WAITS_MS {
        tokio::time::sleep(time::Duration::from_millis(wait_ms)).await;
        let connected = tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await;
        let refused =
            matches!(connected, Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused);
        if refused {
            return true;
        }
    }
    false
}

/// Probes a service's servers; what they say comes as one control event.
pub fn start_probes(
    events: &daemon::ControlSender,
    service: String,
    requested_ms: u64,
    addresses: Vec<(String, net::SocketAddr)>,
) {
    let events = sync::Arc::clone(events);
    tokio::spawn(async move {
        let Ok(client) = daemon::ServerClient::new() else {
            return;
        };
        let probes = addresses.into_iter().map(|(server_id, address)| {
            let client = client.clone();
            async move { Some((server_id, probe(&client, address).await?)) }
        });
        let replies = future::join_all(probes).await;
        let event = daemon::ControlEvent::ServersProbed {
            draining_by_server: replies.into_iter().flatten().collect(),
            requested_ms,
            service,
        };
        let _ = events.send(event).await;
    });
}

/// Gives whether the server drains; nothing when it does not answer.
async fn probe(client: &daemon::ServerClient, address: net::SocketAddr) -> Option<bool> {
    let request = http::Request::builder().uri(PROBE_PATH).body(()).ok()?;
    let (head, ()) = request.into_parts();
    let deadline = tokio::time::Instant::now() + PROBE_TIMEOUT;
    let body = http_body_util::Empty::new();
    let response = client.send(address, &head, body, deadline).await.ok()?;
    Some(response.headers().contains_key(header_names::DRAINING))
}
