//! Detection of pauses of this process.

/// Time without a sign of life of the control thread that counts as a pause of the
/// process, in milliseconds. The control thread gives one every 75 ms.
const PAUSE_MS: u64 = 1_000;
/// Longest time for which requests wait after a pause, in milliseconds. In an outage
/// of the store, a VM without peers goes on with the state that it has.
const MAX_WAIT_MS: u64 = 400;
/// Time after a pause in which messages of peers may still be older ones that waited
/// in the socket, in milliseconds.
const BACKLOG_MS: u64 = 100;

/// Detects pauses of this process, after which its state may have run out.
///
/// Load pattern: a VM is stopped for some seconds. When it goes on, requests wait in
/// its sockets, and it would send them to servers that have left meanwhile.
#[derive(Clone, Copy, Debug, Default)]
pub struct PauseDetector {
    is_confirmed: bool,
    last_sign_ms: u64,
    resumed_ms: u64,
}

impl PauseDetector {
    /// Creates the detector of a process that has just started.
    #[must_use]
    pub const fn new(now_ms: u64) -> Self {
        Self {
            is_confirmed: true,
            last_sign_ms: now_ms,
            resumed_ms: 0,
        }
    }

    /// Records a sign of life of the control thread.
    pub const fn record_sign(&mut self, now_ms: u64) {
        self.detect(now_ms);
        self.last_sign_ms = now_ms;
    }

    /// Returns whether the state may have run out during a pause, and requests must
    /// wait for a confirmation.
    pub const fn must_wait(&mut self, now_ms: u64) -> bool {
        self.detect(now_ms);
        !self.is_confirmed && now_ms < self.resumed_ms + MAX_WAIT_MS
    }

    /// Records that the state was up to date at `confirmed_ms`.
    pub const fn record_confirmation(&mut self, confirmed_ms: u64) {
        self.is_confirmed |= confirmed_ms >= self.resumed_ms;
    }

    /// Returns when the state was up to date if a read of the store that began at
    /// `begun_ms` has ended now: its response may have waited during a pause.
    #[must_use]
    pub const fn read_confirmed_ms(&self, begun_ms: u64, now_ms: u64) -> u64 {
        if begun_ms < self.resumed_ms {
            begun_ms
        } else {
            now_ms
        }
    }

    /// Returns whether a message of a peer that is received now may have waited
    /// during a pause.
    #[must_use]
    pub const fn may_be_backlog(&self, now_ms: u64) -> bool {
        self.resumed_ms > 0 && now_ms < self.resumed_ms + BACKLOG_MS
    }

    const fn detect(&mut self, now_ms: u64) {
        if now_ms > self.last_sign_ms + PAUSE_MS {
            self.is_confirmed = false;
            self.last_sign_ms = now_ms;
            self.resumed_ms = now_ms;
        }
    }
}
