//! What backend servers have asked for: to be left alone for some time, or for good.

use crate::gateway;
use crate::gateway::backend_pool;

/// Largest random delay after the end of a server's rest, in milliseconds.
///
/// Load pattern: all servers of a service ask all VMs for the same rest at once.
const MAX_REST_JITTER_MS: f64 = 300.0;

impl backend_pool::BackendPool {
    /// Records that a server leaves, as it said to this VM if `is_own`, or to another.
    /// Returns whether this is news.
    ///
    /// The server is remembered although it may not be registered, or no longer: its
    /// record may come back.
    pub fn record_leaving(&mut self, now_ms: u64, incarnation: u64, is_own: bool) -> bool {
        if !self.leaving.record(now_ms, incarnation) {
            return false;
        }
        if let Some(server) = self.servers.get_mut(&incarnation) {
            server.constraints.is_leaving = true;
            self.changes.push(gateway::HealthChange::Leaving {
                is_own,
                server: server.backend.id.clone(),
                service: server.backend.service.clone(),
            });
        }
        true
    }

    /// Records that a server wants no request of this VM for some time.
    pub fn record_rest(&mut self, now_ms: u64, incarnation: u64, rest_ms: u64, random_value: f64) {
        let Some(server) = self.servers.get_mut(&incarnation) else {
            return;
        };
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a random value is between 0 and 1"
        )]
        let jitter_ms = (random_value * MAX_REST_JITTER_MS) as u64;
        let until_ms = now_ms + rest_ms + jitter_ms;
        server.constraints.rest_until_ms = server.constraints.rest_until_ms.max(until_ms);
        self.changes.push(gateway::HealthChange::Rest {
            rest_ms,
            server: server.backend.id.clone(),
            service: server.backend.service.clone(),
        });
    }

    /// Returns the first server that the request has not tried to be open again, as the
    /// permission that tells when, if there is one and none is open now.
    #[must_use]
    pub fn next_open(
        &self,
        now_ms: u64,
        request: &gateway::ChoiceRequest<'_>,
    ) -> Option<gateway::SendPermission> {
        let servers = self.untried_servers(request);
        let closed = servers.map(|(_, server)| server.constraints.permission(now_ms));
        let closed = closed.filter(|permission| permission.open_ms().is_some());
        closed.min_by_key(|permission| permission.open_ms())
    }
}
