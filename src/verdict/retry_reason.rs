//! Why a request was sent to a second backend server.

/// Why the fleet itself sent a request again. Each reason has a counter.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RetryReason {
    /// No connection was made, so no byte was sent.
    ConnectFailed,
    /// The request is idempotent and its connection broke.
    IdempotentConnectionLost,
    /// The request is idempotent and the backend server answered a failure.
    IdempotentServerFailure,
    /// The backend server said that it did not run the request.
    ServerShed,
}

impl RetryReason {
    /// Gives the reason's name in counters and logs.
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
