//! Client connections to other entry VMs.

use std::net;
use std::sync;
use std::time;

use snafu::ResultExt as _;
use tokio::net::TcpStream;

use crate::peer;
use crate::peer::peer_error;

/// Maximum number of open connections. An entry VM calls its witness, its
/// neighbours and few other VMs.
const MAX_CONNECTIONS: usize = 128;

/// Client connections to other entry VMs, opened on the first call to each VM.
#[derive(Clone, Default)]
pub struct PeerClients {
    clients: sync::Arc<sync::Mutex<indexmap::IndexMap<net::SocketAddr, peer::PeerServiceClient>>>,
}

impl PeerClients {
    /// Calls the peer at `address` and returns its reply.
    ///
    /// # Errors
    ///
    /// Returns [`peer::PeerError`] if the call fails or no reply arrives within
    /// `timeout`. The connection is then discarded, so that the next call opens
    /// a new one.
    pub async fn call<T, F>(
        &self,
        address: net::SocketAddr,
        timeout: time::Duration,
        request: F,
    ) -> Result<T, peer::PeerError>
    where
        F: AsyncFnOnce(
            &peer::PeerServiceClient,
            tarpc::context::Context,
        ) -> Result<T, tarpc::client::RpcError>,
    {
        let reply = tokio::time::timeout(timeout, self.call_once(address, timeout, request)).await;
        let reply = reply.unwrap_or_else(|_| peer_error::TimedOutSnafu { address }.fail());
        if reply.is_err() {
            self.lock().swap_remove(&address);
        }
        reply
    }

    async fn call_once<T, F>(
        &self,
        address: net::SocketAddr,
        timeout: time::Duration,
        request: F,
    ) -> Result<T, peer::PeerError>
    where
        F: AsyncFnOnce(
            &peer::PeerServiceClient,
            tarpc::context::Context,
        ) -> Result<T, tarpc::client::RpcError>,
    {
        let client = self.connect(address).await?;
        let mut context = tarpc::context::current();
        context.deadline = time::Instant::now() + timeout;
        request(&client, context)
            .await
            .context(peer_error::RpcSnafu { address })
    }

    async fn connect(
        &self,
        address: net::SocketAddr,
    ) -> Result<peer::PeerServiceClient, peer::PeerError> {
        if let Some(client) = self.lock().get(&address) {
            return Ok(client.clone());
        }
        let transport = TcpStream::connect(address)
            .await
            .and_then(peer::transport::from_stream)
            .context(peer_error::ConnectSnafu { address })?;
        let config = tarpc::client::Config::default();
        let client = peer::PeerServiceClient::new(config, transport).spawn();
        let mut clients = self.lock();
        if clients.len() >= MAX_CONNECTIONS {
            clients.shift_remove_index(0);
        }
        clients.insert(address, client.clone());
        Ok(client)
    }

    fn lock(
        &self,
    ) -> sync::MutexGuard<'_, indexmap::IndexMap<net::SocketAddr, peer::PeerServiceClient>> {
        self.clients
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
