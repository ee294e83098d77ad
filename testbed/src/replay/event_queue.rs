//! Queue of events in virtual time.

use std::cmp;
use std::collections;

use crate::replay::event;

/// Queue of events ordered by time; events of the same time are returned in
/// the order in which they were added.
#[derive(Debug, Default)]
pub(super) struct EventQueue {
    last_sequence: u64,
    events: indexmap::IndexMap<u64, event::Event>,
    order: collections::BinaryHeap<cmp::Reverse<(u64, u64)>>,
}

impl EventQueue {
    /// Adds an event.
    pub(super) fn push(&mut self, at_ms: u64, event: event::Event) {
        self.last_sequence += 1;
        self.events.insert(self.last_sequence, event);
        self.order.push(cmp::Reverse((at_ms, self.last_sequence)));
    }

    /// Removes the earliest event and returns it with its time.
    pub(super) fn pop(&mut self) -> Option<(u64, event::Event)> {
        let cmp::Reverse((at_ms, sequence)) = self.order.pop()?;
        let event = self.events.swap_remove(&sequence)?;
        Some((at_ms, event))
    }
}
