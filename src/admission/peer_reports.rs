//! The other entry VMs that share the allowances, and when they last reported.

use std::collections;
use std::net;

/// Time without a report of a VM after which its share stays reserved, in milliseconds.
pub(crate) const SILENCE_MS: u64 = 1_000;
/// Time for which a VM that has disappeared without announcing it is counted, in
/// milliseconds: it may be cut off and serve requests.
const DISAPPEARED_RETENTION_MS: u64 = 7_200_000;
/// Number of VMs assumed in the first [`START_MS`]: a VM that starts does not know how
/// many others there are, and all may start at once.
const START_VM_COUNT: usize = 12;
/// Time in which a VM that starts learns of most others, in milliseconds.
const START_MS: u64 = 800;
/// Longest gap of lost reports whose refill is counted in part, in reports.
const MAX_GAP: u32 = 8;
const US_PER_MS: u64 = 1_000;

/// The other entry VMs that share the allowances.
#[derive(Clone, Debug)]
pub(crate) struct PeerReports {
    /// Least number of VMs among which the allowances are divided.
    min_count: usize,
    /// Last time up to which this VM's own share is counted.
    own_ms: u64,
    peers: indexmap::IndexMap<net::SocketAddr, Peer>,
    /// Time for which the allowances were refilled, in microseconds.
    refill_us: u64,
    /// Sum of the shares of VMs that have fallen silent since the start, in millionths.
    silenced_micro: u64,
    started_ms: u64,
}

#[derive(Clone, Debug)]
struct Peer {
    disappeared_ms: Option<u64>,
    /// When the last report was received; `None` before the first.
    heard_ms: Option<u64>,
    /// Whether the VM serves requests although it is not advertised to callers.
    is_unadvertised: bool,
    is_silent: bool,
    /// Sequence numbers of reports that have not arrived, each with its part of the
    /// refill in microseconds.
    missing: collections::VecDeque<(u32, u64)>,
    /// When the VM was heard from again after a silence; `None` if it never fell silent.
    /// What a VM admitted before it was heard from for the first time is not in a bucket
    /// that is empty at the start.
    returned_ms: Option<u64>,
    sequence: u32,
}

impl Peer {
    const fn new(is_unadvertised: bool) -> Self {
        Self {
            disappeared_ms: None,
            heard_ms: None,
            is_unadvertised,
            is_silent: true,
            missing: collections::VecDeque::new(),
            returned_ms: None,
            sequence: 0,
        }
    }
}

impl PeerReports {
    pub(crate) fn new(now_ms: u64) -> Self {
        Self {
            min_count: 1,
            own_ms: now_ms,
            peers: indexmap::IndexMap::new(),
            refill_us: 0,
            silenced_micro: 0,
            started_ms: now_ms,
        }
    }

    /// Sets the VMs that serve callers, and those that are alive and do not.
    pub(crate) fn set_vms(
        &mut self,
        now_ms: u64,
        serving: &[net::SocketAddr],
        gone: impl Fn(net::SocketAddr) -> bool,
        min_count: usize,
    ) {
        self.update(now_ms);
        self.min_count = min_count.max(1);
        for vm in serving {
            let peer = self.peers.entry(*vm).or_insert_with(|| Peer::new(false));
            peer.disappeared_ms = None;
            peer.is_unadvertised = false;
        }
        let serving: indexmap::IndexSet<net::SocketAddr> = serving.iter().copied().collect();
        self.peers.retain(|vm, peer| {
            if serving.contains(vm) {
                return true;
            }
            if gone(*vm) {
                peer.is_unadvertised = true;
                return !peer.is_silent;
            }
            let since_ms = *peer.disappeared_ms.get_or_insert(now_ms);
            now_ms < since_ms + DISAPPEARED_RETENTION_MS
        });
    }

    /// Counts the refill of this VM's own share, and finds VMs that have fallen silent.
    pub(crate) fn update(&mut self, now_ms: u64) {
        let count = self.known_count(now_ms) as u64;
        let elapsed_ms = now_ms.saturating_sub(self.own_ms);
        self.refill_us += elapsed_ms * US_PER_MS / count;
        self.own_ms = self.own_ms.max(now_ms);
        let mut silenced_micro = 0;
        self.peers.retain(|_, peer| {
            let heard_ms = peer.heard_ms.unwrap_or(0);
            if !peer.is_silent && now_ms > heard_ms + SILENCE_MS {
                peer.is_silent = true;
                if !peer.is_unadvertised {
                    silenced_micro += 1_000_000 / count;
                }
            }
            !(peer.is_silent && peer.is_unadvertised)
        });
        self.silenced_micro += silenced_micro;
    }

    /// Records a report. Returns `false` for a copy of an earlier one.
    ///
    /// The share of a VM is refilled up to the time of its last report only. So the
    /// VMs on both sides of a cut network share the rate from the first moment. What
    /// lost reports may have contained is not known, and their part of the refill is
    /// counted only if they arrive later: the urgent reports of the traffic thread and
    /// the regular ones of the control thread overtake each other.
    pub(crate) fn record(&mut self, now_ms: u64, from: net::SocketAddr, sequence: u32) -> bool {
        self.update(now_ms);
        let count = self.known_count(now_ms) as u64;
        let peer = self.peers.entry(from);
        let peer = peer.or_insert_with(|| Peer::new(true));
        let step = sequence.wrapping_sub(peer.sequence);
        let is_late = peer.heard_ms.is_some() && step.wrapping_neg() <= MAX_GAP;
        if is_late {
            let position = peer
                .missing
                .iter()
                .position(|(known, _)| *known == sequence);
            let missing = position.and_then(|position| peer.missing.remove(position));
            self.refill_us += missing.map_or(0, |(_, refill_us)| refill_us);
            return missing.is_some();
        }
        if let Some(heard_ms) = peer.heard_ms.filter(|_| !peer.is_silent) {
            let elapsed_us = now_ms.saturating_sub(heard_ms) * US_PER_MS;
            if step <= MAX_GAP {
                let part_us = elapsed_us / u64::from(step) / count;
                self.refill_us += part_us;
                let missing = (1..step).map(|offset| (peer.sequence.wrapping_add(offset), part_us));
                peer.missing.extend(missing);
            }
        }
        while peer.missing.len() > MAX_GAP as usize {
            peer.missing.pop_front();
        }
        if peer.is_silent && peer.heard_ms.is_some() {
            peer.returned_ms = Some(now_ms);
            peer.missing.clear();
        }
        peer.heard_ms = Some(now_ms);
        peer.is_silent = false;
        peer.sequence = sequence;
        true
    }

    /// Returns the number of VMs that share the allowances, including this one.
    pub(crate) fn known_count(&self, now_ms: u64) -> usize {
        let known_count = (self.peers.len() + 1).max(self.min_count);
        if now_ms < self.started_ms + START_MS {
            known_count.max(START_VM_COUNT)
        } else {
            known_count
        }
    }

    /// Returns the number of VMs heard from recently, including this one.
    pub(crate) fn heard_count(&self) -> usize {
        let heard = self.peers.values().filter(|peer| !peer.is_silent);
        heard.count() + 1
    }

    /// Returns the share of the VMs that were not heard from after `since_ms`, in
    /// millionths. VMs that are silent are left out, since their share is reserved.
    pub(crate) fn unheard_micro(&self, now_ms: u64, since_ms: u64) -> u64 {
        let unheard = self.peers.values().filter(|peer| {
            !peer.is_silent && peer.heard_ms.is_none_or(|heard_ms| heard_ms < since_ms)
        });
        unheard.count() as u64 * 1_000_000 / self.known_count(now_ms) as u64
    }

    /// Returns the share of the VMs that are silent, in millionths.
    pub(crate) fn silent_micro(&self, now_ms: u64) -> u64 {
        let known_count = self.known_count(now_ms);
        let silent_count = known_count - self.heard_count().min(known_count);
        silent_count as u64 * 1_000_000 / known_count as u64
    }

    /// Returns the share of the VMs that have returned since `since_ms`, in millionths.
    /// What they admitted during their silence is not known.
    pub(crate) fn returned_micro(&self, now_ms: u64, since_ms: u64) -> u64 {
        let peers = self.peers.values();
        let is_recent = |peer: &&Peer| peer.returned_ms.is_some_and(|at_ms| at_ms >= since_ms);
        let returned = peers.filter(|peer| !peer.is_silent && is_recent(peer));
        returned.count() as u64 * 1_000_000 / self.known_count(now_ms) as u64
    }

    pub(crate) const fn refill_us(&self) -> u64 {
        self.refill_us
    }

    pub(crate) const fn silenced_micro(&self) -> u64 {
        self.silenced_micro
    }

    /// Returns the VMs that reports are sent to.
    pub(crate) fn receivers(&self) -> impl Iterator<Item = net::SocketAddr> {
        let peers = self.peers.iter().filter(|(_, peer)| !peer.is_unadvertised);
        peers.map(|(vm, _)| *vm)
    }
}
