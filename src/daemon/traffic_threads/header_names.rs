//! Names of the HTTP headers that the daemon reads and writes.

/// Entry VM to home: the request was forwarded by another entry VM and must not
/// be forwarded again.
pub const HOP: &str = "x-foxtailwinch-hop";
/// Caller to daemon: key prefix and the caller's own key, separated by a dot.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Daemon to caller: a key prefix for new keys.
pub const KEY_PREFIX: &str = "x-foxtailwinch-key-prefix";
/// Caller to daemon and daemon to home or backend server: time left for the
/// request, in milliseconds.
pub const DEADLINE_MS: &str = "x-deadline-ms";
/// Backend server to daemon: the server accepts no new requests.
pub const DRAINING: &str = "x-draining";
/// Backend server to daemon: number of requests in flight and number of slots,
/// separated by a slash.
pub const LOAD: &str = "x-load";
/// Backend server to daemon: the server refused the request without running it.
pub const NOT_RUN: &str = "x-not-run";
/// Caller to daemon: organisation of the caller.
pub const ORGANISATION: &str = "x-organisation";
/// Daemon to caller: reason of the refusal.
pub const REASON: &str = "x-foxtailwinch-reason";
/// In requests and responses: id of the request. A response repeats the id of
/// its request.
pub const REQUEST_ID: &str = "x-request-id";
/// Daemon to caller: delay before a retry, in milliseconds.
pub const RETRY_AFTER_MS: &str = "x-foxtailwinch-retry-after-ms";
/// Daemon to caller: whether the request may have run.
pub const VERDICT: &str = "x-foxtailwinch-verdict";
/// Daemon to caller: id of the entry VM that responded.
pub const VM: &str = "x-foxtailwinch-vm";

/// Headers that only entry VMs may set. They are removed from the responses of
/// backend servers.
pub const FLEET_RESPONSE_HEADERS: [&str; 5] = [KEY_PREFIX, REASON, RETRY_AFTER_MS, VERDICT, VM];
