//! The entry points that a caller keeps.

use std::net;

use crate::caller;

/// The entry points that a caller keeps, each for its lifetime.
#[derive(Clone, Debug, Default)]
pub struct EntryPoints {
    entry_points: Vec<ExpiringEntryPoint>,
    next: usize,
    last_addresses: indexmap::IndexSet<net::SocketAddr>,
}

#[derive(Clone, Debug)]
struct ExpiringEntryPoint {
    entry_point: caller::EntryPoint,
    expires_ms: u64,
}

impl EntryPoints {
    /// Forgets an entry point that could not be reached.
    pub fn remove(&mut self, address: net::SocketAddr) {
        self.entry_points
            .retain(|expiring| expiring.entry_point.address != address);
    }

    /// Keeps what the fleet answered at `now_ms`, in place of what was kept
    /// before.
    pub fn replace(&mut self, now_ms: u64, response: &caller::EntryPointResponse) {
        self.last_addresses = response
            .entry_points
            .iter()
            .map(|entry_point| entry_point.address)
            .collect();
        self.entry_points = response
            .entry_points
            .iter()
            .map(|entry_point| ExpiringEntryPoint {
                entry_point: entry_point.clone(),
                expires_ms: now_ms.saturating_add(entry_point.lifetime_ms),
            })
            .collect();
    }

    /// Gives whom to ask for entry points: those of the last answer, though
    /// their lifetime may have run out, then `entries`.
    #[must_use]
    pub fn query_addresses(&self, entry_addresses: &[net::SocketAddr]) -> Vec<net::SocketAddr> {
        let last_addresses = self.last_addresses.iter().copied();
        last_addresses
            .chain(entry_addresses.iter().copied())
            .collect()
    }

    /// Gives the next entry point in turn whose lifetime has not run out, other
    /// than `avoided` if there is a choice. Gives nothing if none is left.
    pub fn pick(
        &mut self,
        now_ms: u64,
        avoided: Option<net::SocketAddr>,
    ) -> Option<caller::EntryPoint> {
        self.entry_points
            .retain(|expiring| expiring.expires_ms > now_ms);
        let count = self.entry_points.len();
        let chosen = (0..count)
            .map(|step| (self.next + step) % count)
            .find(|index| Some(self.entry_points[*index].entry_point.address) != avoided)
            .or_else(|| (count > 0).then(|| self.next % count))?;
        self.next = chosen + 1;
        Some(self.entry_points[chosen].entry_point.clone())
    }
}
