//! Pull of the store's state from another entry VM over TCP.

use std::net;
use std::sync;
use std::time;

use futures::StreamExt as _;
use tarpc::server::Channel as _;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;

use crate::gateway;
use crate::gateway::control_thread::compact_routes;
use crate::gateway::control_thread::pulled_configuration;
use crate::peer;
use crate::telemetry;

/// Timeout of one call of a pull, including the time to connect.
const CALL_TIMEOUT: time::Duration = time::Duration::from_millis(800);
/// Maximum number of rows in one reply. A reply of this size takes a fifth of a
/// second on a link of 5 Mbit/s.
const MAX_REPLY_ROWS: usize = 400;
/// Number of pulls that a VM serves at the same time. Any further VM is turned away
/// at once and finds another source, so that the state spreads from VM to VM and a
/// slow link is not shared by hundreds of transfers that all time out.
const MAX_SESSIONS: usize = 4;
/// Maximum time for which a pull is served.
const SESSION_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// State sent to an entry VM whose copy of the store is older.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct PulledState {
    /// Change to the configuration in force, if the requester's is older.
    #[serde(rename = "configuration_part", default)]
    pub configuration: Option<pulled_configuration::PulledConfiguration>,
    /// Offset at which to continue reading the configuration's changes; `None` if the
    /// sender does not know it.
    #[serde(default)]
    pub configuration_next_offset: Option<u64>,
    /// Versions and age of the sent state.
    #[serde(rename = "news")]
    pub summary: gateway::StateSummary,
    /// Whether `rows` holds the complete registry rather than changes.
    #[serde(rename = "is_whole")]
    pub is_complete: bool,
    /// Whether further rows follow the last one.
    pub has_more_rows: bool,
    /// Offset at which to continue reading the registry's changes.
    pub registry_next_offset: u64,
    /// Rows that changed after the requester's revision, or all rows if
    /// `is_complete`, in the order of their keys.
    pub rows: indexmap::IndexMap<String, gateway::BackendRow>,
}

impl PulledState {
    /// Returns the number of routes sent.
    #[must_use]
    pub fn route_count(&self) -> usize {
        let configuration = self.configuration.as_ref();
        configuration.map_or(0, |configuration| configuration.route_count)
    }
}

/// Further rows of a pull.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct PulledRows {
    /// Whether further rows follow the last one.
    pub has_more_rows: bool,
    /// Rows in the order of their keys.
    pub rows: indexmap::IndexMap<String, gateway::BackendRow>,
}

/// Remote calls that an entry VM serves for other entry VMs.
#[tarpc::service]
pub trait FleetService {
    /// Returns the state that is newer than the requester's registry revision and
    /// configuration version, with the first rows of the registry.
    async fn pull_state(registry_revision: u64, configuration_version: u64) -> PulledState;

    /// Returns further rows of the registry: those of later keys than `after_key`
    /// that changed after `registry_revision`.
    async fn pull_rows(registry_revision: u64, after_key: String) -> PulledRows;

    /// Returns further routes of the change from `base_version` to `version`: those
    /// after the first `count`. There are none if the change is no longer stored.
    async fn routes_after(
        base_version: u64,
        version: u64,
        count: usize,
    ) -> compact_routes::CompactRoutes;
}

/// Source of the state that other entry VMs pull.
pub trait StateSource: Send + Sync {
    /// Returns the first `max_rows` registry changes after `registry_revision` and
    /// the configuration if it is newer than `configuration_version`.
    fn state_after(
        &self,
        registry_revision: u64,
        configuration_version: u64,
        max_rows: usize,
    ) -> PulledState;

    /// Returns up to `max_rows` registry changes after `registry_revision` with
    /// later keys than `after_key`.
    fn rows_after(&self, registry_revision: u64, after_key: &str, max_rows: usize) -> PulledRows;

    /// Returns the routes after the first `count` of the change from `base_version` to
    /// `version`, as many as fit in a reply.
    fn routes_after(
        &self,
        base_version: u64,
        version: u64,
        count: usize,
    ) -> compact_routes::CompactRoutes;
}

#[derive(Clone)]
struct Handler {
    source: sync::Arc<dyn StateSource>,
}

impl FleetService for Handler {
    async fn pull_state(
        self,
        _context: tarpc::context::Context,
        registry_revision: u64,
        configuration_version: u64,
    ) -> PulledState {
        self.source
            .state_after(registry_revision, configuration_version, MAX_REPLY_ROWS)
    }

    async fn pull_rows(
        self,
        _context: tarpc::context::Context,
        registry_revision: u64,
        after_key: String,
    ) -> PulledRows {
        self.source
            .rows_after(registry_revision, &after_key, MAX_REPLY_ROWS)
    }

    async fn routes_after(
        self,
        _context: tarpc::context::Context,
        base_version: u64,
        version: u64,
        count: usize,
    ) -> compact_routes::CompactRoutes {
        self.source.routes_after(base_version, version, count)
    }
}

/// Serves pulls until the process ends.
pub async fn serve(listener: TcpListener, source: sync::Arc<dyn StateSource>) {
    let sessions = sync::Arc::new(Semaphore::new(MAX_SESSIONS));
    loop {
        let (stream, from) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                telemetry::Event::PeerUnavailable
                    .warn(&format!("failed to accept a peer connection: {error}"));
                tokio::time::sleep(time::Duration::from_millis(50)).await;
                continue;
            }
        };
        let Ok(session) = sync::Arc::clone(&sessions).try_acquire_owned() else {
            telemetry::Event::PeerUnavailable
                .debug(|| format!("turned peer {from} away: {MAX_SESSIONS} pulls in progress"));
            continue;
        };
        let handler = Handler {
            source: sync::Arc::clone(&source),
        };
        tokio::spawn(async move {
            let _session = session;
            let serving = serve_session(stream, from, handler);
            if tokio::time::timeout(SESSION_TIMEOUT, serving)
                .await
                .is_err()
            {
                telemetry::Event::PeerUnavailable
                    .debug(|| format!("pull of peer {from} timed out"));
            }
        });
    }
}

async fn serve_session(stream: TcpStream, from: net::SocketAddr, handler: Handler) {
    match peer::transport::from_stream(stream) {
        Ok(transport) => {
            let channel = tarpc::server::BaseChannel::with_defaults(transport);
            let replies = channel.execute(handler.serve());
            replies.for_each(|reply| reply).await;
        }
        Err(error) => telemetry::Event::PeerUnavailable
            .debug(|| format!("failed to set up the connection of peer {from}: {error}")),
    }
}

/// Pulls the state that is newer than `registry_revision` and
/// `configuration_version` from the VM at `peer`.
///
/// # Errors
///
/// Returns the cause if the connection or a call fails or times out.
pub async fn pull(
    peer: net::SocketAddr,
    registry_revision: u64,
    configuration_version: u64,
) -> Result<PulledState, String> {
    let client = with_timeout(async {
        let stream = TcpStream::connect(peer).await.map_err(|e| e.to_string())?;
        let transport = peer::transport::from_stream(stream).map_err(|e| e.to_string())?;
        let config = tarpc::client::Config::default();
        Ok(FleetServiceClient::new(config, transport).spawn())
    })
    .await?;
    let first = client.pull_state(call_context(), registry_revision, configuration_version);
    let mut state = with_timeout(async { first.await.map_err(|error| error.to_string()) }).await?;
    let revision = if state.is_complete {
        0
    } else {
        registry_revision
    };
    while state.has_more_rows {
        let last_key = state.rows.keys().next_back();
        let last_key = last_key.ok_or("reply without rows announces more rows")?;
        let further = client.pull_rows(call_context(), revision, last_key.clone());
        let further = async { further.await.map_err(|error| error.to_string()) };
        let further = with_timeout(further).await?;
        state.has_more_rows = further.has_more_rows && !further.rows.is_empty();
        state.rows.extend(further.rows);
    }
    if let Some(configuration) = &mut state.configuration {
        while !configuration.is_complete() {
            let head = &configuration.head;
            let count = configuration.routes.0.len();
            let further =
                client.routes_after(call_context(), head.base_version, head.version, count);
            let further = async { further.await.map_err(|error| error.to_string()) };
            let further = with_timeout(further).await?;
            if further.0.is_empty() {
                return Err("the peer no longer has the configuration".to_owned());
            }
            configuration.routes.0.extend(further.0);
        }
    }
    Ok(state)
}

fn call_context() -> tarpc::context::Context {
    let mut context = tarpc::context::current();
    context.deadline = time::Instant::now() + CALL_TIMEOUT;
    context
}

async fn with_timeout<T>(call: impl Future<Output = Result<T, String>>) -> Result<T, String> {
    let result = tokio::time::timeout(CALL_TIMEOUT, call).await;
    result.unwrap_or_else(|_| {
        let timeout_ms = CALL_TIMEOUT.as_millis();
        Err(format!("call timed out after {timeout_ms} ms"))
    })
}
