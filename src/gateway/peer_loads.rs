//! Requests in flight from the other entry VMs of the region.

use std::net;

use crate::gateway;

/// Age at which a load report expires, in milliseconds. Ten reports are sent in
/// this time.
const REPORT_MAX_AGE_MS: u64 = 1_500;

/// Requests in flight from the other entry VMs of the region, according to the
/// last load report of each VM.
#[derive(Debug, Default)]
pub(super) struct PeerLoads(indexmap::IndexMap<net::SocketAddr, PeerLoad>);

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
        self.0.insert(from, load);
        self.0.retain(|_, load| load.is_fresh(now_ms));
    }

    /// Returns the number of requests that the other VMs have in flight on a server.
    pub(super) fn in_flight(&self, now_ms: u64, incarnation: u64) -> u32 {
        let fresh = self.0.values().filter(|load| load.is_fresh(now_ms));
        fresh
            .filter_map(|load| load.in_flight.get(&incarnation))
            .sum()
    }
}

impl PeerLoad {
    const fn is_fresh(&self, now_ms: u64) -> bool {
        self.received_ms + REPORT_MAX_AGE_MS > now_ms
    }
}
