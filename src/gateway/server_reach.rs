//! Whether this VM reaches the backend servers.

/// Number of distinct servers out of reach in a row from which on the cause is taken to
/// be the path of this VM rather than the servers.
const MISSES_OF_PATH: usize = 3;
/// Number of requests without a response from any server from which on silence leads
/// to health checks.
const SILENT_REQUESTS: u32 = 3;
/// Time for which no server has responded before silence leads to health checks, in
/// milliseconds.
const SILENCE_MS: u64 = 1_000;
/// Time for which bytes of a response show that this VM reaches the servers, in
/// milliseconds. The longest connect timeout by default: bytes that arrive while a
/// connection attempt waits show that the path is slow, not lost.
const BYTES_EVIDENCE_MS: u64 = 500;
/// Time between two rounds of health checks, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 300;

/// Whether this VM reaches the backend servers, from the outcomes of its connections,
/// requests and health checks.
///
/// A server that is missed may be down. If several are missed in a row without a
/// response from any server, the VM is cut off from all of them, and other VMs have to
/// send its requests on. Any response of a server ends that.
///
/// Load pattern: the responses of other requests fill the link of this VM, so that
/// connection attempts time out. As long as bytes of responses arrive, the path is not
/// taken to be lost.
#[derive(Debug, Default)]
pub struct ServerReach {
    is_cut_off: bool,
    last_bytes_ms: Option<u64>,
    last_response_ms: Option<u64>,
    missed: indexmap::IndexSet<u64>,
    next_check_ms: u64,
    /// When the first request was sent since the last response, and how many were.
    unanswered: Option<(u64, u32)>,
}

impl ServerReach {
    /// Records that a request is sent to a server.
    pub const fn record_sent(&mut self, now_ms: u64) {
        self.unanswered = match self.unanswered {
            None => Some((now_ms, 1)),
            Some((since_ms, count)) => Some((since_ms, count.saturating_add(1))),
        };
    }

    /// Records a response of any server. Returns whether the VM was cut off until now.
    pub fn record_response(&mut self, now_ms: u64) -> bool {
        self.last_response_ms = Some(now_ms);
        self.missed.clear();
        self.unanswered = None;
        std::mem::take(&mut self.is_cut_off)
    }

    /// Records that bytes of any server's response, or of its body, have arrived. Returns
    /// whether the VM was cut off until now.
    pub fn record_bytes(&mut self, now_ms: u64) -> bool {
        self.last_bytes_ms = Some(now_ms);
        self.record_response(now_ms)
    }

    /// Records that no connection to a server could be opened, or that it did not respond
    /// to a health check. Returns whether the VM is cut off from now on.
    ///
    /// A connection that is lost later is no miss: servers may run requests and lose their
    /// responses, many of them at once.
    pub fn record_miss(&mut self, now_ms: u64, incarnation: u64) -> bool {
        self.missed.insert(incarnation);
        let has_recent_bytes = self
            .last_bytes_ms
            .is_some_and(|bytes_ms| now_ms < bytes_ms + BYTES_EVIDENCE_MS);
        if self.is_cut_off || has_recent_bytes || self.missed.len() < MISSES_OF_PATH {
            return false;
        }
        self.is_cut_off = true;
        self.next_check_ms = now_ms;
        true
    }

    /// Returns whether this VM reaches no server.
    #[must_use]
    pub const fn is_cut_off(&self) -> bool {
        self.is_cut_off
    }

    /// Returns whether any server has responded since `from_ms`.
    #[must_use]
    pub fn has_response_since(&self, from_ms: u64) -> bool {
        self.last_response_ms
            .is_some_and(|responded_ms| responded_ms >= from_ms)
    }

    /// Returns how many servers to check now, and counts the checks as made.
    ///
    /// A silent VM checks several servers at once, since it does not know yet whether
    /// it is cut off. A VM that is cut off needs one response only.
    pub fn take_due_checks(&mut self, now_ms: u64) -> usize {
        let is_silent = self.unanswered.is_some_and(|(since_ms, count)| {
            count >= SILENT_REQUESTS && since_ms + SILENCE_MS <= now_ms
        });
        if now_ms < self.next_check_ms || !(self.is_cut_off || is_silent) {
            return 0;
        }
        self.next_check_ms = now_ms + CHECK_INTERVAL_MS;
        if self.is_cut_off { 1 } else { MISSES_OF_PATH }
    }
}
