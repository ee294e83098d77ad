//! Requests in flight from the other entry VMs of the region.

use std::net;

use crate::gateway;

/// Age at which a load report expires, in milliseconds. Ten reports are sent in
/// this time.
pub(super) const REPORT_MAX_AGE_MS: u64 = 1_500;

/// Requests in flight from the other entry VMs of the region, according to the
/// last load report of each VM.
#[derive(Debug, Default)]
pub(super) struct PeerLoads {
    by_vm: indexmap::IndexMap<net::SocketAddr, PeerLoad>,
    /// Lower bound of the arrival times of the reports.
    oldest_ms: u64,
    /// Sum of all reports. A choice reads it for each server, which would otherwise be
    /// servers times VMs look-ups.
    totals: indexmap::IndexMap<u64, u32>,
}

#[derive(Debug)]
struct PeerLoad {
    received_ms: u64,
    in_flight: indexmap::IndexMap<u64, u32>,
}

impl PeerLoads {
    /// Replaces the last report of a VM and drops expired reports of all VMs.
    pub(super) fn apply_report(
        &mut self,
        now_ms: u64,
        from: net::SocketAddr,
        report: &gateway::LoadReport,
    ) {
        let busy = report.servers.iter().filter(|load| load.in_flight > 0);
        let load = PeerLoad {
            received_ms: now_ms,
            in_flight: busy
                .map(|load| (load.incarnation, load.in_flight))
                .collect(),
        };
        for (incarnation, count) in &load.in_flight {
            *self.totals.entry(*incarnation).or_default() += count;
        }
        if let Some(replaced) = self.by_vm.insert(from, load) {
            self.subtract(&replaced);
        }
        if !is_fresh(now_ms, self.oldest_ms) {
            self.drop_expired(now_ms);
        }
    }

    /// Returns the number of requests that the other VMs have in flight on a server.
    pub(super) fn in_flight(&self, now_ms: u64, incarnation: u64) -> u32 {
        if is_fresh(now_ms, self.oldest_ms) {
            return self.totals.get(&incarnation).copied().unwrap_or(0);
        }
        let fresh = self.by_vm.values();
        let fresh = fresh.filter(|load| is_fresh(now_ms, load.received_ms));
        fresh
            .filter_map(|load| load.in_flight.get(&incarnation))
            .sum()
    }

    /// Drops expired reports of all VMs.
    fn drop_expired(&mut self, now_ms: u64) {
        let expired = self
            .by_vm
            .extract_if(.., |_, load| !is_fresh(now_ms, load.received_ms));
        let expired: Vec<PeerLoad> = expired.map(|(_, load)| load).collect();
        for load in &expired {
            self.subtract(load);
        }
        let received_ms = self.by_vm.values().map(|load| load.received_ms);
        self.oldest_ms = received_ms.min().unwrap_or(now_ms);
    }

    fn subtract(&mut self, load: &PeerLoad) {
        for (incarnation, count) in &load.in_flight {
            if let Some(total) = self.totals.get_mut(incarnation) {
                *total -= count;
                if *total == 0 {
                    self.totals.swap_remove(incarnation);
                }
            }
        }
    }
}

const fn is_fresh(now_ms: u64, received_ms: u64) -> bool {
    received_ms + REPORT_MAX_AGE_MS > now_ms
}
