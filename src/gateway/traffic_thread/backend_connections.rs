//! Idle connections to backend servers.

use std::sync;
use std::time;

use crate::http1;

/// Idle connections kept for one server.
const MAX_IDLE_PER_SERVER: usize = 16;

/// Idle connections to backend servers, by lifetime: a server that starts
/// again, or another one at its address, gets new ones.
#[derive(Default)]
pub struct BackendConnections {
    idle: sync::Mutex<indexmap::IndexMap<u64, Vec<IdleConnection>>>,
}

struct IdleConnection {
    connection: http1::ClientConnection,
    expires_at: tokio::time::Instant,
}

impl BackendConnections {
    /// Takes the connection that was used last, if one is open.
    #[must_use]
    pub fn take(&self, lifetime: u64) -> Option<http1::ClientConnection> {
        let now = tokio::time::Instant::now();
        let mut idle = self.lock();
        let connections = idle.get_mut(&lifetime)?;
        while let Some(candidate) = connections.pop() {
            if candidate.expires_at > now && candidate.connection.is_idle() {
                return Some(candidate.connection);
            }
        }
        None
    }

    /// Keeps a connection for `idle_time`.
    pub fn put(
        &self,
        lifetime: u64,
        connection: http1::ClientConnection,
        idle_time: time::Duration,
    ) {
        let mut idle = self.lock();
        let connections = idle.entry(lifetime).or_default();
        if connections.len() >= MAX_IDLE_PER_SERVER {
            connections.remove(0);
        }
        connections.push(IdleConnection {
            connection,
            expires_at: tokio::time::Instant::now() + idle_time,
        });
    }

    /// Closes connections whose time is over, and those to servers for which
    /// `is_known` is false.
    pub fn remove_expired(&self, is_known: impl Fn(u64) -> bool) {
        let now = tokio::time::Instant::now();
        let mut idle = self.lock();
        idle.retain(|lifetime, connections| {
            connections.retain(|candidate| candidate.expires_at > now);
            is_known(*lifetime) && !connections.is_empty()
        });
    }

    fn lock(&self) -> sync::MutexGuard<'_, indexmap::IndexMap<u64, Vec<IdleConnection>>> {
        self.idle
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
