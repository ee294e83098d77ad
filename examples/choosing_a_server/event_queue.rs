//! Queue of events in virtual time.

use std::cmp;
use std::collections;

/// Queue of events ordered by virtual time; events of the same time are returned
/// in the order of insertion.
#[derive(Debug)]
pub struct EventQueue<E> {
    events: collections::BinaryHeap<cmp::Reverse<Entry<E>>>,
    next_sequence: u64,
}

#[derive(Debug)]
struct Entry<E> {
    at_us: u64,
    event: E,
    sequence: u64,
}

impl<E> EventQueue<E> {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self {
            events: collections::BinaryHeap::new(),
            next_sequence: 0,
        }
    }

    /// Adds an event.
    pub fn push(&mut self, at_us: u64, event: E) {
        self.next_sequence += 1;
        self.events.push(cmp::Reverse(Entry {
            at_us,
            event,
            sequence: self.next_sequence,
        }));
    }

    /// Removes the earliest event and returns it with its time.
    pub fn pop(&mut self) -> Option<(u64, E)> {
        let cmp::Reverse(entry) = self.events.pop()?;
        Some((entry.at_us, entry.event))
    }
}

impl<E> Entry<E> {
    const fn order(&self) -> (u64, u64) {
        (self.at_us, self.sequence)
    }
}

impl<E> Eq for Entry<E> {}

impl<E> Ord for Entry<E> {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        self.order().cmp(&other.order())
    }
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        self.order() == other.order()
    }
}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}
