//! The slots of a server and the queue before them.

use std::sync::{self, atomic};

/// The slots of a server and the queue before them.
#[derive(Debug)]
pub struct Slots {
    in_flight: atomic::AtomicU32,
    queue_limit_requests: u32,
    semaphore: sync::Arc<tokio::sync::Semaphore>,
    slot_count: u32,
    queued_count: atomic::AtomicU32,
}

/// One slot taken; dropping it sets the slot free.
#[derive(Debug)]
pub struct SlotGuard {
    _permit: tokio::sync::OwnedSemaphorePermit,
    slots: sync::Arc<Slots>,
}

struct WaitGuard<'a> {
    slots: &'a Slots,
}

impl Slots {
    /// Gives `slot_count` free slots with a queue of `queue_limit_requests` requests.
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

    /// Gives the number of slots taken.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(atomic::Ordering::SeqCst)
    }

    /// Gives the number of slots.
    #[must_use]
    pub const fn slot_count(&self) -> u32 {
        self.slot_count
    }

    /// Takes a slot, waiting in the queue if it has room. Gives nothing if
    /// slots and queue are full.
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
