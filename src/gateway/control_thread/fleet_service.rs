//! Pulls of state between entry VMs, over TCP.

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

/// Time in which a pull must be answered.
const PULL_TIMEOUT: time::Duration = time::Duration::from_millis(800);

/// What a VM gives to one that knows less.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct PulledState {
    /// The configuration in force, if the asker's is older and what changed
    /// since is not known.
    pub configuration: Option<ports::FleetConfiguration>,
    /// What changed since the asker's configuration.
    pub configuration_change: Option<ports::ConfigurationChange>,
    /// How new all of it is.
    #[serde(rename = "news")]
    pub summary: gateway::StateSummary,
    /// Whether the rows are the whole registry.
    #[serde(rename = "is_whole")]
    pub is_complete: bool,
    /// Where reading the registry's changes goes on.
    pub registry_next_offset: u64,
    /// Rows that changed since the asker's mark.
    pub rows: indexmap::IndexMap<String, gateway::BackendRow>,
}

/// What an entry VM does for others.
#[tarpc::service]
pub trait FleetService {
    /// Gives what changed after the asker's own knowledge.
    async fn pull(registry_mark: u64, configuration_version: u64) -> Option<PulledState>;
}

/// Gives the state that another VM lacks.
pub trait StateSource: Send + Sync {
    /// Gives what changed since a mark and a version.
    fn state_after(&self, registry_offset: u64, configuration_version: u64) -> Option<PulledState>;
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

/// Answers pulls until the process ends.
pub async fn serve(listener: TcpListener, source: sync::Arc<dyn StateSource>) {
    loop {
        let (stream, from) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                telemetry::Event::PeerUnavailable.warn(&format!("accept failed: {error}"));
                tokio::time::sleep(time::Duration::from_millis(50)).await;
                continue;
            }
        };
        let handler = Handler {
            source: sync::Arc::clone(&source),
        };
        tokio::spawn(async move {
            let transport = match peer::transport::over(stream) {
                Ok(transport) => transport,
                Err(error) => {
                    telemetry::Event::PeerUnavailable.debug(|| format!("{from}: {error}"));
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

/// Asks the VM at `peer` for what changed.
///
/// # Errors
///
/// Gives why there was no answer.
pub async fn pull(
    peer: net::SocketAddr,
    registry_offset: u64,
    configuration_version: u64,
) -> Result<Option<PulledState>, String> {
    let call = async {
        let stream = TcpStream::connect(peer).await.map_err(|e| e.to_string())?;
        let transport = peer::transport::over(stream).map_err(|e| e.to_string())?;
        let config = tarpc::client::Config::default();
        let client = FleetServiceClient::new(config, transport).spawn();
        let mut context = tarpc::context::current();
        context.deadline = time::Instant::now() + PULL_TIMEOUT;
        let reply = client.pull(context, registry_offset, configuration_version);
        reply.await.map_err(|error| error.to_string())
    };
    let result = tokio::time::timeout(PULL_TIMEOUT, call).await;
    result.unwrap_or_else(|_| Err("no answer in time".to_owned()))
}
