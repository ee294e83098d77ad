//! Share of the fleet's retry slack that one VM may use.

use std::collections;

/// Share of the fleet's retry slack that one VM may use: the smallest share that
/// the VM had in the last window of the budget.
///
/// Load pattern: VMs fail or restart while requests fail. The shares of the
/// remaining VMs grow at once, although the failed VMs may have used their shares
/// in the same window. Therefore, a larger share applies one window later.
///
/// A restarted VM does not know how much of its share it has used, nor at first how many
/// other VMs there are. It has no share in its first window, because VMs may be killed
/// and restarted many times in one.
#[derive(Clone, Debug)]
pub struct SlackShare {
    shares: collections::VecDeque<Share>,
    window_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct Share {
    since_ms: u64,
    milli: u64,
}

impl SlackShare {
    /// Creates the share of a VM that starts now, with `first_milli` thousandths of a
    /// retry in its first window.
    #[must_use]
    pub fn new(now_ms: u64, window_ms: u64, first_milli: u64) -> Self {
        let first = Share {
            since_ms: now_ms,
            milli: first_milli,
        };
        Self {
            shares: [first].into(),
            window_ms,
        }
    }

    /// Records the VM's current share and returns the share that it may use, both in
    /// thousandths of a retry.
    pub fn update(&mut self, now_ms: u64, share_milli: u64) -> u64 {
        let last = self.shares.back();
        if last.is_none_or(|last| last.milli != share_milli) {
            self.shares.push_back(Share {
                since_ms: now_ms,
                milli: share_milli,
            });
        }
        // Drops a share once the next one is a window old.
        while self
            .shares
            .get(1)
            .is_some_and(|next| next.since_ms + self.window_ms <= now_ms)
        {
            self.shares.pop_front();
        }
        let shares = self.shares.iter().map(|share| share.milli);
        shares.min().unwrap_or(0)
    }
}
