//! Idle connections to backend servers.

use std::sync;
use std::time;

use crate::http1;

/// Idle connections kept for one server.
const MAX_IDLE_PER_SERVER: usize = 16;

/// Idle connections to backend servers, by incarnation: a server that starts
/// again, or another one at its address, gets new ones.
#[derive(Default)]
pub struct BackendConnections {
    idle: sync::Mutex<indexmap::IndexMap<u64, Vec<IdleConnection>>>,
}

struct IdleConnection {
    connection: http1::ClientConnection,
    until: tokio::time::Instant,
}

impl BackendConnections {
    /// Takes the connection that was used last, if one is open.
    #[must_use]
    pub fn take(&self, incarnation: u64) -> Option<http1::ClientConnection> {
        let now = tokio::time::Instant::now();
        let mut idle = self.lock();
        let of_server = idle.get_mut(&incarnation)?;
        while let Some(candidate) = of_server.pop() {
            if candidate.until > now && candidate.connection.is_idle() {
                return Some(candidate.connection);
            }
        }
        None
    }

    /// Keeps a connection for `idle_time`.
    pub fn put(
        &self,
        incarnation: u64,
        connection: http1::ClientConnection,
        idle_time: time::Duration,
    ) {
        let mut idle = self.lock();
        let of_server = idle.entry(incarnation).or_default();
        if of_server.len() >= MAX_IDLE_PER_SERVER {
            of_server.remove(0);
        }
        of_server.push(IdleConnection {
            connection,
            until: tokio::time::Instant::now() + idle_time,
        });
    }

    /// Closes connections whose time is over, and those to servers for which
    /// `is_known` is false.
    pub fn sweep(&self, is_known: impl Fn(u64) -> bool) {
        let now = tokio::time::Instant::now();
        let mut idle = self.lock();
        idle.retain(|incarnation, of_server| {
            of_server.retain(|candidate| candidate.until > now);
            is_known(*incarnation) && !of_server.is_empty()
        });
    }

    fn lock(&self) -> sync::MutexGuard<'_, indexmap::IndexMap<u64, Vec<IdleConnection>>> {
        self.idle
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
