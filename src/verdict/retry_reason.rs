//! Reason of a retry.

/// Reason why an entry VM retried a request. Each reason has its own counter.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RetryReason {
    /// The connection attempt failed, so no byte of the request was sent.
    ConnectFailed,
    /// The request is idempotent and its connection was lost.
    IdempotentConnectionLost,
    /// The request is idempotent and the backend server responded with a
    /// failure.
    IdempotentServerFailure,
    /// The backend server shed the request, that is, reported that it did not
    /// run it.
    ServerShed,
}

impl RetryReason {
    /// Returns the name of the reason in counters and logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::ConnectFailed => "connect-failed",
            Self::IdempotentConnectionLost => "idempotent-connection-lost",
            Self::IdempotentServerFailure => "idempotent-server-failure",
            Self::ServerShed => "server-shed",
        }
    }
}
