//! How much of the fleet's retry slack one VM may use.

use std::collections;

/// VMs that share the slack in a small fleet: three in each zone, in two
/// regions of two zones.
const SMALL_FLEET_VM_COUNT: u64 = 12;

/// How much of the fleet's retry slack one VM may use: the least share that it
/// had in the last window of the budget.
///
/// Load pattern: VMs are lost or restart while requests fail. The survivors'
/// shares grow at once, though the lost ones have used theirs in the same
/// window. So a share that has grown counts one window later. A restarted VM
/// does not know what it has used, nor at first how many others there are: in
/// its first window it has no more than its share of a small fleet.
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
    /// Gives the share of a VM that starts now, where all VMs share
    /// `fleet_milli` thousandths of a retry.
    #[must_use]
    pub fn new(now_ms: u64, window_ms: u64, fleet_milli: u64) -> Self {
        let first = Share {
            since_ms: now_ms,
            milli: fleet_milli / SMALL_FLEET_VM_COUNT,
        };
        Self {
            shares: [first].into(),
            window_ms,
        }
    }

    /// Notes the VM's present share, and gives what it may use, both in
    /// thousandths of a retry.
    pub fn update(&mut self, now_ms: u64, share_milli: u64) -> u64 {
        let last = self.shares.back();
        if last.is_none_or(|last| last.milli != share_milli) {
            self.shares.push_back(Share {
                since_ms: now_ms,
                milli: share_milli,
            });
        }
        // A share is forgotten once the next one has held for a window.
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
