//! Entry points known to a caller.

use std::net;

use crate::caller;

/// Entry points known to a caller, each until its lifetime ends.
#[derive(Clone, Debug, Default)]
pub struct EntryPoints {
    known: Vec<ExpiringEntryPoint>,
    next: usize,
    last_addresses: indexmap::IndexSet<net::SocketAddr>,
}

#[derive(Clone, Debug)]
struct ExpiringEntryPoint {
    entry_point: caller::EntryPoint,
    expires_ms: u64,
}

impl EntryPoints {
    /// Removes an entry point that could not be reached.
    pub fn remove(&mut self, address: net::SocketAddr) {
        self.known
            .retain(|expiring| expiring.entry_point.address != address);
    }

    /// Replaces all entry points by those of a response received at `now_ms`.
    pub fn replace(&mut self, now_ms: u64, response: &caller::EntryPointResponse) {
        self.last_addresses = response
            .entry_points
            .iter()
            .map(|entry_point| entry_point.address)
            .collect();
        self.known = response
            .entry_points
            .iter()
            .map(|entry_point| ExpiringEntryPoint {
                entry_point: entry_point.clone(),
                expires_ms: now_ms.saturating_add(entry_point.lifetime_ms),
            })
            .collect();
    }

    /// Returns the addresses to query for entry points: the entry points of the
    /// last response, even if they have expired, then `entry_addresses`.
    #[must_use]
    pub fn query_addresses(&self, entry_addresses: &[net::SocketAddr]) -> Vec<net::SocketAddr> {
        let last_addresses = self.last_addresses.iter().copied();
        last_addresses
            .chain(entry_addresses.iter().copied())
            .collect()
    }

    /// Returns the next unexpired entry point in turn, and avoids the address
    /// `avoided` if there is another one. Returns `None` if all entry points
    /// have expired.
    pub fn pick(
        &mut self,
        now_ms: u64,
        avoided: Option<net::SocketAddr>,
    ) -> Option<caller::EntryPoint> {
        self.known.retain(|expiring| expiring.expires_ms > now_ms);
        let count = self.known.len();
        let chosen = (0..count)
            .map(|step| (self.next + step) % count)
            .find(|index| Some(self.known[*index].entry_point.address) != avoided)
            .or_else(|| (count > 0).then(|| self.next % count))?;
        self.next = chosen + 1;
        Some(self.known[chosen].entry_point.clone())
    }
}
