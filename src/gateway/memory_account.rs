//! Account of the bytes that a VM holds for callers and servers.

use crate::ports;

/// Part of a VM's memory that may be held for callers and servers, as a divisor. The
/// rest is for the state of the fleet, connections and the buffers of their libraries.
const MEMORY_DIVISOR: u64 = 2;
/// Part of what may be held that bytes without a reservation may fill, in percent. The rest is
/// kept for requests that begin: uploads and responses that are larger than expected, or that
/// do not end, must not keep others out.
const UNRESERVED_PERCENT: u64 = 75;
/// Expected size of the responses of a download route before any was seen, in bytes.
const FIRST_DOWNLOAD_BYTES: u64 = 262_144;
/// Expected size of other responses before any was seen, in bytes.
const FIRST_RESPONSE_BYTES: u64 = 16_384;
/// Weight of a new size in the average of a route, as a divisor.
const AVERAGE_DIVISOR: u64 = 8;
/// Maximum number of routes whose averages are kept. Routes that configurations no
/// longer contain are forgotten with all others when it is reached.
const MAX_ROUTES: usize = 4_096;
/// Time for which a caller must have taken nothing before its response may be broken
/// off, in milliseconds. The system's send buffer of 64 KB takes more once a third of it
/// is free, so such a caller reads less than about 20 KB/s.
const STALLED_MS: u64 = 2_000;

/// Account of the bytes of requests and responses that a VM holds for callers and
/// servers.
///
/// Load pattern: callers that read slowly or not at all, each with a large response. The
/// account does not grow beyond its limit by [`MemoryAccount::try_hold`]; if there is no
/// room, it names the responses whose callers have stalled.
#[derive(Debug)]
pub struct MemoryAccount {
    average_bytes: indexmap::IndexMap<String, u64>,
    held_bytes: u64,
    limit_bytes: u64,
    next_id: u64,
    passing: indexmap::IndexMap<u64, PassingResponse>,
}

/// Response that is being passed on to its caller.
#[derive(Debug)]
struct PassingResponse {
    deadline_ms: u64,
    held_bytes: u64,
    last_taken_ms: u64,
}

impl MemoryAccount {
    /// Creates the empty account of a VM with this memory. If it is unknown (0), there
    /// is no limit.
    #[must_use]
    pub fn new(memory_bytes: u64) -> Self {
        let limit_bytes = match memory_bytes {
            0 => u64::MAX,
            bytes => bytes / MEMORY_DIVISOR,
        };
        Self {
            average_bytes: indexmap::IndexMap::new(),
            held_bytes: 0,
            limit_bytes,
            next_id: 0,
            passing: indexmap::IndexMap::new(),
        }
    }

    /// Returns the number of bytes held or reserved.
    #[must_use]
    pub const fn held_bytes(&self) -> u64 {
        self.held_bytes
    }

    /// Returns the number of bytes that may be held.
    #[must_use]
    pub const fn limit_bytes(&self) -> u64 {
        self.limit_bytes
    }

    /// Counts bytes as held if there is room for them. Returns whether there is.
    #[must_use]
    pub const fn try_hold(&mut self, bytes: u64) -> bool {
        let has_room = self.held_bytes.saturating_add(bytes) <= self.limit_bytes;
        if has_room {
            self.held_bytes += bytes;
        }
        has_room
    }

    /// Counts bytes as held that were not reserved, if there is room for them. Returns whether
    /// there is.
    #[must_use]
    pub const fn try_hold_unreserved(&mut self, bytes: u64) -> bool {
        let limit_bytes = self.limit_bytes / 100 * UNRESERVED_PERCENT;
        let has_room = bytes == 0 || self.held_bytes.saturating_add(bytes) <= limit_bytes;
        has_room && self.try_hold(bytes)
    }

    /// Counts bytes as held that are in memory already, also beyond the limit.
    pub const fn hold(&mut self, bytes: u64) {
        self.held_bytes = self.held_bytes.saturating_add(bytes);
    }

    /// Counts bytes as held no longer.
    ///
    /// # Panics
    ///
    /// Panics if fewer bytes are held.
    pub fn release(&mut self, bytes: u64) {
        assert!(bytes <= self.held_bytes, "more released than held");
        self.held_bytes -= bytes;
    }

    /// Returns the size of a response that is to be expected on a route, in bytes.
    #[must_use]
    pub fn expected_bytes(&self, route: &ports::Route) -> u64 {
        let first_bytes = if route.kind == ports::RequestKind::Download {
            FIRST_DOWNLOAD_BYTES
        } else {
            FIRST_RESPONSE_BYTES
        };
        let average_bytes = self.average_bytes.get(&route.name);
        average_bytes.copied().unwrap_or(first_bytes)
    }

    /// Records the size of a response, as far as it is held at the same time.
    pub fn record_response(&mut self, route: &ports::Route, bytes: u64) {
        let average_bytes = self.expected_bytes(route);
        let kept = average_bytes - average_bytes / AVERAGE_DIVISOR;
        if self.average_bytes.len() >= MAX_ROUTES && !self.average_bytes.contains_key(&route.name) {
            self.average_bytes.clear();
        }
        self.average_bytes
            .insert(route.name.clone(), kept + bytes / AVERAGE_DIVISOR);
    }

    /// Records that a response is passed on to its caller, who waits until
    /// `deadline_ms`. `held_bytes` of it are held. Returns its number.
    pub fn begin_passing(&mut self, now_ms: u64, deadline_ms: u64, held_bytes: u64) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        let response = PassingResponse {
            deadline_ms,
            held_bytes,
            last_taken_ms: now_ms,
        };
        self.passing.insert(id, response);
        id
    }

    /// Records that more bytes of a response that is passed on are held.
    pub fn record_more(&mut self, id: u64, bytes: u64) {
        if let Some(response) = self.passing.get_mut(&id) {
            response.held_bytes += bytes;
        }
    }

    /// Records that the caller has taken bytes of a response.
    pub fn record_taken(&mut self, now_ms: u64, id: u64, bytes: u64) {
        if let Some(response) = self.passing.get_mut(&id) {
            response.held_bytes = response.held_bytes.saturating_sub(bytes);
            response.last_taken_ms = now_ms;
        }
    }

    /// Records that a response is no longer passed on.
    pub fn end_passing(&mut self, id: u64) {
        self.passing.swap_remove(&id);
    }

    /// Returns the responses to break off so that there is room for `bytes`, and forgets
    /// them. Their bytes remain counted until they are released.
    ///
    /// Only responses whose callers have taken nothing for some time, or no longer wait,
    /// are broken off; those first that have taken nothing for longest. Returns nothing
    /// if these do not make enough room.
    pub fn take_stalled(&mut self, now_ms: u64, bytes: u64) -> Vec<u64> {
        let free_bytes = self.limit_bytes.saturating_sub(self.held_bytes);
        let missing_bytes = bytes.saturating_sub(free_bytes);
        let stalled = self.passing.iter().filter(|(_, response)| {
            let is_stalled = response.last_taken_ms + STALLED_MS <= now_ms;
            response.held_bytes > 0 && (is_stalled || response.deadline_ms <= now_ms)
        });
        let mut stalled: Vec<(u64, u64)> = stalled
            .map(|(id, response)| (response.last_taken_ms, *id))
            .collect();
        stalled.sort_unstable();
        let mut taken = Vec::new();
        let mut found_bytes: u64 = 0;
        for (_, id) in stalled {
            if found_bytes >= missing_bytes {
                break;
            }
            found_bytes += self.passing[&id].held_bytes;
            taken.push(id);
        }
        if found_bytes < missing_bytes {
            return Vec::new();
        }
        for id in &taken {
            self.passing.swap_remove(id);
        }
        taken
    }
}
