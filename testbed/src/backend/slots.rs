//! Slots of a server, with a queue for requests that wait for a slot.

use std::sync::{self, atomic};

/// Slots of a server, with a queue for requests that wait for a slot.
#[derive(Debug)]
pub struct Slots {
    in_flight: atomic::AtomicU32,
    queue_limit_requests: u32,
    semaphore: sync::Arc<tokio::sync::Semaphore>,
    slot_count: u32,
    queued_count: atomic::AtomicU32,
}

/// Slot in use; dropping the guard frees the slot.
#[derive(Debug)]
pub struct SlotGuard {
    _permit: tokio::sync::OwnedSemaphorePermit,
    slots: sync::Arc<Slots>,
}

struct WaitGuard<'a> {
    slots: &'a Slots,
}

impl Slots {
    /// Creates `slot_count` free slots with a queue for `queue_limit_requests`
    /// requests.
    #[must_use]
    pub fn new(slot_count: u32, queue_limit_requests: u32) -> Self {
        Self {
            in_flight: atomic::AtomicU32::new(0),
            queue_limit_requests,
            semaphore: sync::Arc::new(tokio::sync::Semaphore::new(slot_count as usize)),
            slot_count,
            queued_count: atomic::AtomicU32::new(0),
        }
    }

    /// Returns the number of slots in use.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(atomic::Ordering::SeqCst)
    }

    /// Returns the number of slots.
    #[must_use]
    pub const fn slot_count(&self) -> u32 {
        self.slot_count
    }

    /// Acquires a slot and waits in the queue if necessary. Returns `None` if
    /// all slots are in use and the queue is full.
    pub async fn acquire(self: sync::Arc<Self>) -> Option<SlotGuard> {
        let semaphore = sync::Arc::clone(&self.semaphore);
        let permit = match sync::Arc::clone(&semaphore).try_acquire_owned() {
            Ok(permit) => permit,
            Err(_) => self.wait(semaphore).await?,
        };
        self.in_flight.fetch_add(1, atomic::Ordering::SeqCst);
        Some(SlotGuard {
            _permit: permit,
            slots: self,
        })
    }

    async fn wait(
        &self,
        semaphore: sync::Arc<tokio::sync::Semaphore>,
    ) -> Option<tokio::sync::OwnedSemaphorePermit> {
        let queued_count = self.queued_count.fetch_add(1, atomic::Ordering::SeqCst);
        let _guard = WaitGuard { slots: self };
        if queued_count >= self.queue_limit_requests {
            return None;
        }
        semaphore.acquire_owned().await.ok()
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.slots.in_flight.fetch_sub(1, atomic::Ordering::SeqCst);
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.slots
            .queued_count
            .fetch_sub(1, atomic::Ordering::SeqCst);
    }
}
