//! The entry points that a caller keeps.

use std::net;

use crate::caller;

/// The entry points that a caller keeps, each for its lifetime.
#[derive(Clone, Debug, Default)]
pub struct EntryPoints {
    kept: Vec<KeptEntryPoint>,
    next: usize,
    seen: indexmap::IndexSet<net::SocketAddr>,
}

#[derive(Clone, Debug)]
struct KeptEntryPoint {
    entry_point: caller::EntryPoint,
    expires_ms: u64,
}

impl EntryPoints {
    /// Forgets an entry point that could not be reached.
    pub fn forget(&mut self, address: net::SocketAddr) {
        self.kept.retain(|kept| kept.entry_point.address != address);
    }

    /// Keeps what the fleet answered at `now_ms`, in place of what was kept
    /// before.
    pub fn keep(&mut self, now_ms: u64, response: &caller::EntryPointResponse) {
        self.seen = response
            .entry_points
            .iter()
            .map(|entry_point| entry_point.address)
            .collect();
        self.kept = response
            .entry_points
            .iter()
            .map(|entry_point| KeptEntryPoint {
                entry_point: entry_point.clone(),
                expires_ms: now_ms.saturating_add(entry_point.lifetime_ms),
            })
            .collect();
    }

    /// Gives whom to ask for entry points: those of the last answer, though
    /// their lifetime may have run out, then `entries`.
    #[must_use]
    pub fn sources(&self, entries: &[net::SocketAddr]) -> Vec<net::SocketAddr> {
        let seen = self.seen.iter().copied();
        seen.chain(entries.iter().copied()).collect()
    }

    /// Gives the next entry point in turn whose lifetime has not run out, other
    /// than `avoided` if there is a choice. Gives nothing if none is left.
    pub fn pick(
        &mut self,
        now_ms: u64,
        avoided: Option<net::SocketAddr>,
    ) -> Option<caller::EntryPoint> {
        self.kept.retain(|kept| kept.expires_ms > now_ms);
        let count = self.kept.len();
        let chosen = (0..count)
            .map(|step| (self.next + step) % count)
            .find(|index| Some(self.kept[*index].entry_point.address) != avoided)
            .or_else(|| (count > 0).then(|| self.next % count))?;
        self.next = chosen + 1;
        Some(self.kept[chosen].entry_point.clone())
    }
}
