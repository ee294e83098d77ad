//! Limit that a backend server has named for the requests of all VMs together.

/// Part of the limit that may be used at once after a pause, as the time in which it
/// accrues, in milliseconds.
const BURST_MS: f64 = 1_000.0;
/// Lowest rate, in requests a second. A server whose limit is 0 gets a request now and
/// then, since only its responses can tell that the limit has ended.
const MIN_PER_S: f64 = 0.1;
const MS_PER_S: f64 = 1_000.0;

/// Limit that a backend server has named for the requests of all VMs together.
///
/// Load pattern: a server in need takes one request a second, and a dozen VMs each
/// have requests for it all the time. Each VM counts its own requests and those that
/// the others report, at once and one by one. A share for each VM would either leave
/// the limit unused or add up to far more than the limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SendLimit {
    /// When the limit was named first, in milliseconds.
    named_ms: u64,
    per_s: f64,
    /// Time at which all requests so far would have been sent at the named rate.
    used_until_ms: f64,
}

impl SendLimit {
    /// Creates the limit of a server that names `per_s` requests a second from now on.
    #[must_use]
    pub fn new(now_ms: u64, per_s: f64) -> Self {
        Self {
            named_ms: now_ms,
            per_s: per_s.max(MIN_PER_S),
            used_until_ms: as_f64(now_ms),
        }
    }

    /// Returns the requests a second.
    #[must_use]
    pub const fn per_s(&self) -> f64 {
        self.per_s
    }

    /// Changes the rate. Requests sent before still count. Returns whether it differs.
    pub fn set_rate(&mut self, per_s: f64) -> bool {
        let before = self.per_s;
        self.per_s = per_s.max(MIN_PER_S);
        (self.per_s - before).abs() > f64::EPSILON
    }

    /// Returns whether a response that names no limit ends this one. It does if its
    /// request was sent after the limit was named.
    #[must_use]
    pub const fn is_ended_by(&self, sent_ms: u64) -> bool {
        sent_ms > self.named_ms
    }

    /// Returns whether the server may be sent a request now.
    #[must_use]
    pub fn allows(&self, now_ms: u64) -> bool {
        self.open_ms() <= now_ms
    }

    /// Returns when the server may be sent the next request, in milliseconds.
    #[must_use]
    pub fn open_ms(&self) -> u64 {
        let open_ms = (self.used_until_ms - BURST_MS).max(0.0).ceil();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a positive time far below 2^52 ms"
        )]
        let open_ms = open_ms as u64;
        open_ms
    }

    /// Counts a request that this VM or another one sends now.
    pub fn record_send(&mut self, now_ms: u64) {
        self.used_until_ms = self.used_until_ms.max(as_f64(now_ms)) + MS_PER_S / self.per_s;
    }
}

fn as_f64(ms: u64) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "times are far below 2^52 ms")]
    let ms = ms as f64;
    ms
}
