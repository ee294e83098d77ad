//! The queue of updates to piggyback on messages.

use std::cmp;
use std::collections;
use std::net;

/// Queue of changed members to gossip about. Changes that were sent the fewest
/// times come first, and among these the change that was queued first.
#[derive(Default)]
pub struct GossipQueue {
    changes: indexmap::IndexMap<net::SocketAddr, Change>,
    order: collections::BTreeSet<(cmp::Reverse<u32>, u64, net::SocketAddr)>,
    next_sequence: u64,
}

#[derive(Clone, Copy)]
struct Change {
    /// Whether the full record must be sent.
    joined: bool,
    remaining_transmissions: u32,
    sequence: u64,
}

impl GossipQueue {
    /// Queues a change of a member, to be sent in `transmissions` messages. It
    /// replaces an older change of the same member.
    pub fn push(&mut self, address: net::SocketAddr, joined: bool, transmissions: u32) {
        let older = self.remove(address);
        let joined = joined || older.is_some_and(|older| older.joined);
        self.insert(address, joined, transmissions);
    }

    /// Returns the changed members for one message, in the order of the queue, each
    /// with whether its full record must be sent. Stops at the first member that
    /// `fits` rejects.
    ///
    /// A change is removed from the queue after its last transmission.
    pub fn next_changes(
        &mut self,
        mut fits: impl FnMut(net::SocketAddr, bool) -> bool,
    ) -> Vec<(net::SocketAddr, bool)> {
        let mut selected = Vec::new();
        while let Some((_, _, address)) = self.order.first().copied() {
            let joined = self.changes[&address].joined;
            if !fits(address, joined) {
                break;
            }
            selected.extend(self.remove(address).map(|change| (address, change)));
        }
        for (address, change) in &selected {
            if change.remaining_transmissions > 1 {
                self.insert(*address, change.joined, change.remaining_transmissions - 1);
            }
        }
        let members = selected.into_iter();
        members
            .map(|(address, change)| (address, change.joined))
            .collect()
    }

    /// Removes the queued change of a member.
    fn remove(&mut self, address: net::SocketAddr) -> Option<Change> {
        let change = self.changes.swap_remove(&address)?;
        self.order.remove(&(
            cmp::Reverse(change.remaining_transmissions),
            change.sequence,
            address,
        ));
        Some(change)
    }

    fn insert(&mut self, address: net::SocketAddr, joined: bool, remaining_transmissions: u32) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.order
            .insert((cmp::Reverse(remaining_transmissions), sequence, address));
        self.changes.insert(
            address,
            Change {
                joined,
                remaining_transmissions,
                sequence,
            },
        );
    }
}
