//! Reason of a refusal.

/// Reason why a request was refused. Each reason has its own counter.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// The response was truncated, or its length did not match its header.
    AnswerTruncated,
    /// The response carried the id of another request.
    AnswerMismatched,
    /// The request body exceeds the size limit.
    BodyTooLarge,
    /// The caller sent the request body too slowly.
    CallerTooSlow,
    /// The witness denied the claim or did not acknowledge it in time.
    ClaimDenied,
    /// The connection to the backend server failed after bytes were sent.
    ConnectionLost,
    /// The deadline passed, or would pass before a response can be expected.
    DeadlineExceeded,
    /// The idempotency key of the request was closed or sealed before.
    KeyClosed,
    /// An earlier attempt with the same idempotency key may have run.
    KeyMayHaveRun,
    /// The memory for idempotency keys is full.
    KeyMemoryFull,
    /// A non-idempotent request has no idempotency key with a valid prefix.
    KeyPrefixMissing,
    /// The idempotency key was already used for a different request.
    KeyReused,
    /// The configuration does not contain the caller's key, or the caller sent none.
    KeyUnknown,
    /// The entry VM is leaving the fleet and accepts no new requests.
    Leaving,
    /// No configuration is in force on this entry VM yet.
    NoConfiguration,
    /// No route matches the request.
    NoRoute,
    /// No backend server of the service accepts the request, or no connection
    /// to one could be made.
    NoServer,
    /// The organisation exceeded its rate limit or its limit of requests in
    /// flight.
    OrganisationLimit,
    /// The service's queue is full.
    QueueFull,
    /// Requests with this fingerprint have crashed backend servers.
    Quarantined,
    /// The request is malformed.
    RequestInvalid,
    /// The backend servers have named limits that are used up.
    ServerLimit,
    /// The backend servers have asked for rest.
    ServerRest,
    /// The backend server refused the request without running it.
    ServerShed,
    /// This entry VM does not reach the backend servers.
    ServersUnreachable,
    /// The capacity of this entry VM for the service or the priority of the
    /// request is used up.
    ServiceLimit,
}

impl RefusalReason {
    /// Returns the name of the reason in headers, counters and logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::AnswerMismatched => "answer-mismatched",
            Self::AnswerTruncated => "answer-truncated",
            Self::BodyTooLarge => "body-too-large",
            Self::CallerTooSlow => "caller-too-slow",
            Self::ClaimDenied => "claim-denied",
            Self::ConnectionLost => "connection-lost",
            Self::DeadlineExceeded => "deadline-exceeded",
            Self::KeyClosed => "key-closed",
            Self::KeyMayHaveRun => "key-may-have-run",
            Self::KeyMemoryFull => "key-memory-full",
            Self::KeyPrefixMissing => "key-prefix-missing",
            Self::KeyReused => "key-reused",
            Self::KeyUnknown => "key-unknown",
            Self::Leaving => "leaving",
            Self::NoConfiguration => "no-configuration",
            Self::NoRoute => "no-route",
            Self::NoServer => "no-server",
            Self::OrganisationLimit => "organisation-limit",
            Self::Quarantined => "quarantined",
            Self::QueueFull => "queue-full",
            Self::RequestInvalid => "request-invalid",
            Self::ServerLimit => "server-limit",
            Self::ServerRest => "server-rest",
            Self::ServerShed => "server-shed",
            Self::ServersUnreachable => "servers-unreachable",
            Self::ServiceLimit => "service-limit",
        }
    }
}
