//! Probes of backend servers: whether they are up and whether they are
//! draining.

use std::io;
use std::net;
use std::sync;
use std::time;

use futures::future;
use tokio::net::TcpStream;

use crate::daemon;
use crate::daemon::traffic_threads::header_names;

/// Time limit of a probe. A probe usually takes about 25 ms.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// Path of the probe. The health status in the response is not trusted. Only
/// the arrival of a response and its draining header are used.
const PROBE_PATH: &str = "/health";

/// Delays before each attempt to connect to a server whose connection broke, in
/// milliseconds. A process that is exiting may still accept connections for a
/// moment.
const DEATH_CHECK_DELAYS_MS: [u64; 3] = [0, 30, 120];

/// Returns whether the server refuses a connection in any of several attempts in
/// short succession. A server that does not respond at all is not assumed to be
/// dead.
pub async fn refuses_connections(address: net::SocketAddr) -> bool {
    for delay_ms in DEATH_CHECK_DELAYS_MS {
        tokio::time::sleep(time::Duration::from_millis(delay_ms)).await;
        let connected = tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await;
        let refused =
            matches!(connected, Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused);
        if refused {
            return true;
        }
    }
    false
}

/// Starts probes of a service's servers. The results arrive as one control
/// event.
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

/// Returns whether the server is draining, or `None` if it does not respond.
async fn probe(client: &daemon::ServerClient, address: net::SocketAddr) -> Option<bool> {
    let request = http::Request::builder().uri(PROBE_PATH).body(()).ok()?;
    let (head, ()) = request.into_parts();
    let deadline = tokio::time::Instant::now() + PROBE_TIMEOUT;
    let body = http_body_util::Empty::new();
    let response = client.send(address, &head, body, deadline).await.ok()?;
    Some(response.headers().contains_key(header_names::DRAINING))
}
