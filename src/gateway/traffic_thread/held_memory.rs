//! Memory that requests and responses take up in this VM.

use std::sync;
use std::time;

use crate::context;
use crate::gateway;
use crate::gateway::traffic_thread::caller_stream;
use crate::gateway::traffic_thread::routed_request;
use crate::ports;

/// Longest time that a request waits for the memory of responses that were broken off.
/// Their connections are closed at once.
const RELEASE_TIMEOUT: time::Duration = time::Duration::from_millis(100);
/// Interval at which it checks for that memory.
const RELEASE_POLL_INTERVAL: time::Duration = time::Duration::from_millis(5);

/// Memory that requests and responses take up in this VM.
pub struct HeldMemory {
    clock: sync::Arc<dyn context::Clock>,
    state: sync::Mutex<State>,
}

struct State {
    account: gateway::MemoryAccount,
    /// Connections of the callers to whom responses are passed on.
    callers: indexmap::IndexMap<u64, sync::Weak<caller_stream::CallerObserver>>,
}

/// Share of one request in the memory. It ends when the request has ended and all of its
/// bytes have been passed on or dropped.
pub struct RequestMemory {
    memory: sync::Arc<HeldMemory>,
    state: sync::Mutex<RequestState>,
}

#[derive(Default)]
struct RequestState {
    held_bytes: u64,
    passing_id: Option<u64>,
    /// Bytes that are counted for the expected response and not in use yet.
    reserved_bytes: u64,
}

/// Part of a body that is counted as held until the last reference to it is dropped. The
/// connection drops it when it has been written.
struct HeldPart {
    bytes: bytes::Bytes,
    counted_bytes: u64,
    request: sync::Arc<RequestMemory>,
}

impl HeldMemory {
    /// Creates the memory of a VM with this size.
    #[must_use]
    pub fn new(clock: sync::Arc<dyn context::Clock>, memory_bytes: u64) -> sync::Arc<Self> {
        let state = State {
            account: gateway::MemoryAccount::new(memory_bytes),
            callers: indexmap::IndexMap::new(),
        };
        sync::Arc::new(Self {
            clock,
            state: sync::Mutex::new(state),
        })
    }

    /// Returns the number of bytes that are held or reserved.
    #[must_use]
    pub fn held_bytes(&self) -> u64 {
        self.lock().account.held_bytes()
    }

    /// Returns the share of a new request. Nothing is held yet.
    #[must_use]
    pub fn begin_request(self: &sync::Arc<Self>) -> sync::Arc<RequestMemory> {
        sync::Arc::new(RequestMemory {
            memory: sync::Arc::clone(self),
            state: sync::Mutex::new(RequestState::default()),
        })
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Closes the connections of callers that have stalled if that makes room for
    /// `bytes`. Returns the number of these connections.
    fn break_off_stalled(&self, bytes: u64) -> usize {
        let now_ms = self.clock.now_ms();
        let callers: Vec<_> = {
            let mut state = self.lock();
            let ids = state.account.take_stalled(now_ms, bytes);
            let callers = ids.iter().map(|id| state.callers.swap_remove(id));
            callers.collect()
        };
        for caller in &callers {
            let caller = caller.as_ref().and_then(sync::Weak::upgrade);
            if let Some(caller) = caller {
                caller.close();
            }
        }
        callers.len()
    }
}

impl RequestMemory {
    /// Reserves the expected size of a route's response. Returns whether there is room.
    ///
    /// If there is none, responses whose callers have stalled are broken off.
    pub async fn reserve(&self, shared: &gateway::Shared, route: &ports::Route) -> bool {
        let expected_bytes = self.memory.lock().account.expected_bytes(route);
        if self.try_reserve(expected_bytes) {
            return true;
        }
        let broken_off_count = self.memory.break_off_stalled(expected_bytes);
        if broken_off_count == 0 {
            return false;
        }
        let counters = &shared.metrics.counters;
        counters.add_many("memory.broken-off", broken_off_count as u64);
        shared.decision_log.record("memory.broken-off", || {
            format!(
                "responses={broken_off_count} held_bytes={}",
                self.memory.held_bytes()
            )
        });
        let end = tokio::time::Instant::now() + RELEASE_TIMEOUT;
        while tokio::time::Instant::now() < end {
            tokio::time::sleep(RELEASE_POLL_INTERVAL).await;
            if self.try_reserve(expected_bytes) {
                return true;
            }
        }
        false
    }

    fn try_reserve(&self, expected_bytes: u64) -> bool {
        let mut own = self.lock();
        let missing_bytes = expected_bytes.saturating_sub(own.reserved_bytes);
        let has_room = self.memory.lock().account.try_hold(missing_bytes);
        if has_room {
            own.reserved_bytes += missing_bytes;
        }
        has_room
    }

    /// Takes memory for `bytes` more, first from what is reserved. Returns whether there
    /// is room. Bytes that were not reserved leave room for requests that begin.
    #[must_use]
    pub fn try_take(&self, bytes: u64) -> bool {
        let mut own = self.lock();
        let from_reserve = own.reserved_bytes.min(bytes);
        let mut memory = self.memory.lock();
        if !memory.account.try_hold_unreserved(bytes - from_reserve) {
            return false;
        }
        own.take(&mut memory, bytes, from_reserve);
        true
    }

    /// Takes memory for bytes that have arrived already, also beyond the limit.
    pub fn take(&self, bytes: u64) {
        let mut own = self.lock();
        let from_reserve = own.reserved_bytes.min(bytes);
        let mut memory = self.memory.lock();
        memory.account.hold(bytes - from_reserve);
        own.take(&mut memory, bytes, from_reserve);
    }

    /// Returns a part of a body that gives `counted_bytes`, which were taken before,
    /// back when it is dropped.
    #[must_use]
    pub fn attach(self: &sync::Arc<Self>, bytes: bytes::Bytes, counted_bytes: u64) -> bytes::Bytes {
        bytes::Bytes::from_owner(HeldPart {
            bytes,
            counted_bytes,
            request: sync::Arc::clone(self),
        })
    }

    /// Records the size of the response, and gives back what was reserved beyond it.
    pub fn record_response(&self, route: &ports::Route, bytes: u64) {
        let mut own = self.lock();
        let mut memory = self.memory.lock();
        memory.account.record_response(route, bytes);
        memory
            .account
            .release(std::mem::take(&mut own.reserved_bytes));
    }

    /// Records that the final response is passed on to the caller. From now on, it may
    /// be broken off if the caller stalls.
    pub fn begin_passing(&self, routed: &routed_request::RoutedRequest<'_>) {
        let now_ms = self.memory.clock.now_ms();
        let time_left = routed
            .caller_deadline
            .saturating_duration_since(tokio::time::Instant::now());
        let time_left_ms = u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX);
        let deadline_ms = now_ms.saturating_add(time_left_ms);
        let extensions = &routed.head.extensions;
        let caller = extensions.get::<sync::Arc<caller_stream::CallerObserver>>();
        let Some(caller) = caller else {
            return;
        };
        let mut own = self.lock();
        let mut memory = self.memory.lock();
        let account = &mut memory.account;
        let id = account.begin_passing(now_ms, deadline_ms, own.held_bytes);
        memory.callers.insert(id, sync::Arc::downgrade(caller));
        own.passing_id = Some(id);
    }

    fn give_back(&self, bytes: u64) {
        let now_ms = self.memory.clock.now_ms();
        let mut own = self.lock();
        own.held_bytes -= bytes;
        let mut memory = self.memory.lock();
        memory.account.release(bytes);
        if let Some(id) = own.passing_id {
            memory.account.record_taken(now_ms, id, bytes);
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, RequestState> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl RequestState {
    fn take(&mut self, memory: &mut State, bytes: u64, from_reserve: u64) {
        self.reserved_bytes -= from_reserve;
        self.held_bytes += bytes;
        if let Some(id) = self.passing_id {
            memory.account.record_more(id, bytes);
        }
    }
}

impl Drop for RequestMemory {
    fn drop(&mut self) {
        let own = self
            .state
            .get_mut()
            .unwrap_or_else(sync::PoisonError::into_inner);
        let mut memory = self.memory.lock();
        // Bytes that were taken and never attached end with the request.
        memory.account.release(own.reserved_bytes + own.held_bytes);
        if let Some(id) = own.passing_id {
            memory.account.end_passing(id);
            memory.callers.swap_remove(&id);
        }
    }
}

impl AsRef<[u8]> for HeldPart {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for HeldPart {
    fn drop(&mut self) {
        self.request.give_back(self.counted_bytes);
    }
}
