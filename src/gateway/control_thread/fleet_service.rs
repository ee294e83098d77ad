//! Pull of the store's state from another entry VM over TCP.

use std::net;
use std::sync;
use std::time;

use futures::StreamExt as _;
use tarpc::server::Channel as _;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::gateway;
use crate::peer;
use crate::ports;
use crate::telemetry;

/// Timeout of a pull, including the time to connect.
const PULL_TIMEOUT: time::Duration = time::Duration::from_millis(800);

/// State sent to an entry VM whose copy of the store is older.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct PulledState {
    /// Configuration in force, if the requester's is older and the change since
    /// then cannot be computed.
    pub configuration: Option<ports::FleetConfiguration>,
    /// Change from the requester's configuration to the one in force, if the
    /// requester's is older and still stored here.
    pub configuration_change: Option<ports::ConfigurationChange>,
    /// Versions and age of the sent state.
    #[serde(rename = "news")]
    pub summary: gateway::StateSummary,
    /// Whether `rows` holds the complete registry rather than changes.
    #[serde(rename = "is_whole")]
    pub is_complete: bool,
    /// Offset at which to continue reading the registry's changes.
    pub registry_next_offset: u64,
    /// Rows that changed after the requester's revision, or all rows if
    /// `is_complete`.
    pub rows: indexmap::IndexMap<String, gateway::BackendRow>,
}

/// Remote calls that an entry VM serves for other entry VMs.
#[tarpc::service]
pub trait FleetService {
    /// Returns the state that is newer than the requester's registry revision and
    /// configuration version.
    async fn pull(registry_mark: u64, configuration_version: u64) -> Option<PulledState>;
}

/// Source of the state that other entry VMs pull.
pub trait StateSource: Send + Sync {
    /// Returns the registry changes after `registry_revision` and the
    /// configuration if it is newer than `configuration_version`.
    fn state_after(
        &self,
        registry_revision: u64,
        configuration_version: u64,
    ) -> Option<PulledState>;
}

#[derive(Clone)]
struct Handler {
    source: sync::Arc<dyn StateSource>,
}

impl FleetService for Handler {
    async fn pull(
        self,
        _context: tarpc::context::Context,
        registry_mark: u64,
        configuration_version: u64,
    ) -> Option<PulledState> {
        self.source
            .state_after(registry_mark, configuration_version)
    }
}

/// Serves pulls until the process ends.
pub async fn serve(listener: TcpListener, source: sync::Arc<dyn StateSource>) {
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
        let handler = Handler {
            source: sync::Arc::clone(&source),
        };
        tokio::spawn(async move {
            let transport = match peer::transport::from_stream(stream) {
                Ok(transport) => transport,
                Err(error) => {
                    telemetry::Event::PeerUnavailable.debug(|| {
                        format!("failed to set up the connection of peer {from}: {error}")
                    });
                    return;
                }
            };
            let channel = tarpc::server::BaseChannel::with_defaults(transport);
            channel
                .execute(handler.serve())
                .for_each(|reply| reply)
                .await;
        });
    }
}

/// Pulls the state that is newer than `registry_revision` and
/// `configuration_version` from the VM at `peer`.
///
/// # Errors
///
/// Returns the cause if the connection or the call fails or times out.
pub async fn pull(
    peer: net::SocketAddr,
    registry_revision: u64,
    configuration_version: u64,
) -> Result<Option<PulledState>, String> {
    let call = async {
        let stream = TcpStream::connect(peer).await.map_err(|e| e.to_string())?;
        let transport = peer::transport::from_stream(stream).map_err(|e| e.to_string())?;
        let config = tarpc::client::Config::default();
        let client = FleetServiceClient::new(config, transport).spawn();
        let mut context = tarpc::context::current();
        context.deadline = time::Instant::now() + PULL_TIMEOUT;
        let reply = client.pull(context, registry_revision, configuration_version);
        reply.await.map_err(|error| error.to_string())
    };
    let result = tokio::time::timeout(PULL_TIMEOUT, call).await;
    result.unwrap_or_else(|_| {
        Err(format!(
            "pull timed out after {} ms",
            PULL_TIMEOUT.as_millis()
        ))
    })
}
