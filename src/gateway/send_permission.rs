//! Whether a backend server may be sent a request now.

use crate::gateway;

/// What stands against requests to a backend server, as far as the server has said so.
///
/// Suspicion is not part of it: it makes a server the less preferred, but forbids
/// nothing, since only requests show that a server works again.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerWishes {
    /// Whether the server leaves.
    pub is_leaving: bool,
    /// Limit on the requests of all VMs; `None` if the server names none.
    pub limit: Option<gateway::SendLimit>,
    /// Until when the server wants no request of this VM, in milliseconds.
    pub rest_until_ms: u64,
}

/// Whether a backend server may be sent a request now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendPermission {
    /// The server may be sent a request.
    Granted,
    /// The server leaves and gets no further request.
    Leaving,
    /// The limit that the server has named is used up until this time in milliseconds.
    Limited(u64),
    /// The server rests until this time in milliseconds.
    Resting(u64),
}

impl ServerWishes {
    /// Returns whether the server may be sent a request now. Of limit and rest, the one
    /// that ends later counts.
    #[must_use]
    pub fn permission(&self, now_ms: u64) -> SendPermission {
        let open_ms = self.limit.map_or(0, |limit| limit.open_ms());
        if self.is_leaving {
            SendPermission::Leaving
        } else if now_ms < self.rest_until_ms && open_ms <= self.rest_until_ms {
            SendPermission::Resting(self.rest_until_ms)
        } else if now_ms < open_ms {
            SendPermission::Limited(open_ms)
        } else {
            SendPermission::Granted
        }
    }
}

impl SendPermission {
    /// Returns when the server may be sent a request again, if it may not now.
    #[must_use]
    pub const fn open_ms(self) -> Option<u64> {
        match self {
            Self::Limited(open_ms) | Self::Resting(open_ms) => Some(open_ms),
            Self::Granted | Self::Leaving => None,
        }
    }
}
