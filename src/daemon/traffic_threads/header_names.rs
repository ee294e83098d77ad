//! Names of the HTTP headers that the daemon reads and writes.

/// Entry VM to home: the request was sent on by another entry VM and must not
/// be sent on again.
pub const HOP: &str = "x-foxtailwinch-hop";
/// Caller to daemon: the key prefix, a dot, then the caller's own key.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Daemon to caller: a key prefix that can be used.
pub const KEY_PREFIX: &str = "x-foxtailwinch-key-prefix";
/// Both ways: milliseconds left for the request.
pub const DEADLINE_MS: &str = "x-deadline-ms";
/// Backend server to daemon: the server takes no new work.
pub const DRAINING: &str = "x-draining";
/// Backend server to daemon: requests in flight, a slash, slots.
pub const LOAD: &str = "x-load";
/// Backend server to daemon: the request was refused and did not run.
pub const NOT_RUN: &str = "x-not-run";
/// Caller to daemon: the organisation that the caller belongs to.
pub const ORGANISATION: &str = "x-organisation";
/// Daemon to caller: why the request was refused.
pub const REASON: &str = "x-foxtailwinch-reason";
/// Both ways: the request's id, echoed in its answer.
pub const REQUEST_ID: &str = "x-request-id";
/// Daemon to caller: when to come back, in milliseconds.
pub const RETRY_AFTER_MS: &str = "x-foxtailwinch-retry-after-ms";
/// Daemon to caller: whether the request may have run.
pub const VERDICT: &str = "x-foxtailwinch-verdict";
/// Daemon to caller: the entry VM that answered.
pub const VM: &str = "x-foxtailwinch-vm";

/// Headers that only the fleet itself may send to callers.
pub const FLEET_RESPONSE_HEADERS: [&str; 5] = [KEY_PREFIX, REASON, RETRY_AFTER_MS, VERDICT, VM];
