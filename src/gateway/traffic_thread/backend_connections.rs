//! Pool of idle connections to backend servers.

use std::sync;
use std::time;

use crate::http1;

/// Maximum number of idle connections per server.
const MAX_IDLE_PER_SERVER: usize = 16;

/// Pool of idle connections to backend servers.
///
/// The key is the server's incarnation, so that a server that has restarted, or
/// another server at the same address, is reached over new connections.
#[derive(Default)]
pub struct BackendConnections {
    idle: sync::Mutex<indexmap::IndexMap<u64, Vec<IdleConnection>>>,
}

struct IdleConnection {
    connection: http1::ClientConnection,
    expires_at: tokio::time::Instant,
}

impl BackendConnections {
    /// Removes and returns the most recently used connection that is still open;
    /// `None` if there is none.
    #[must_use]
    pub fn take(&self, incarnation: u64) -> Option<http1::ClientConnection> {
        let now = tokio::time::Instant::now();
        let mut idle = self.lock();
        let connections = idle.get_mut(&incarnation)?;
        while let Some(candidate) = connections.pop() {
            if candidate.expires_at > now && candidate.connection.is_idle() {
                return Some(candidate.connection);
            }
        }
        None
    }

    /// Stores a connection for at most `idle_time`. If the pool of the server is
    /// full, the connection that was stored first is closed.
    pub fn put(
        &self,
        incarnation: u64,
        connection: http1::ClientConnection,
        idle_time: time::Duration,
    ) {
        let mut idle = self.lock();
        let connections = idle.entry(incarnation).or_default();
        if connections.len() >= MAX_IDLE_PER_SERVER {
            connections.remove(0);
        }
        connections.push(IdleConnection {
            connection,
            expires_at: tokio::time::Instant::now() + idle_time,
        });
    }

    /// Closes all connections.
    pub fn clear(&self) {
        self.lock().clear();
    }

    /// Closes connections whose idle time has passed, and those to incarnations
    /// for which `is_known` returns `false`.
    pub fn remove_expired(&self, is_known: impl Fn(u64) -> bool) {
        let now = tokio::time::Instant::now();
        let mut idle = self.lock();
        idle.retain(|incarnation, connections| {
            connections.retain(|candidate| candidate.expires_at > now);
            is_known(*incarnation) && !connections.is_empty()
        });
    }

    fn lock(&self) -> sync::MutexGuard<'_, indexmap::IndexMap<u64, Vec<IdleConnection>>> {
        self.idle
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
