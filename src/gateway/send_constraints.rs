//! What a backend server has said against requests to it.

use crate::gateway;

/// What stands against requests to a backend server, as far as the server has said so.
///
/// Suspicion is not part of it: it makes a server the less preferred, but forbids
/// nothing, since only requests show that a server works again.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SendConstraints {
    /// Whether the server leaves.
    pub is_leaving: bool,
    /// Limit on the requests of all VMs; `None` if the server names none.
    pub limit: Option<gateway::SendLimit>,
    /// Until when the server wants no request of this VM, in milliseconds.
    pub rest_until_ms: u64,
}

impl SendConstraints {
    /// Returns whether the server may be sent a request now. Of limit and rest, the one
    /// that ends later counts.
    #[must_use]
    pub fn permission(&self, now_ms: u64) -> gateway::SendPermission {
        let open_ms = self.limit.map_or(0, |limit| limit.open_ms());
        if self.is_leaving {
            gateway::SendPermission::Leaving
        } else if now_ms < self.rest_until_ms && open_ms <= self.rest_until_ms {
            gateway::SendPermission::Resting(self.rest_until_ms)
        } else if now_ms < open_ms {
            gateway::SendPermission::Limited(open_ms)
        } else {
            gateway::SendPermission::Granted
        }
    }
}
