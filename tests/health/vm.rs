//! Simulated entry VM: requests and holds ejections, and may become the
//! decider.

use std::collections;

use foxtailwinch::configs;
use foxtailwinch::health;

use super::floor_simulation;

/// Message between entry VMs.
#[derive(Clone)]
pub enum Message {
    EjectionResponse(health::EjectionResponse),
    EjectionRequest {
        request: health::EjectionRequest,
        from: usize,
    },
    Recall(String),
    States {
        requested_ms: u64,
        servers: Vec<health::ServerState>,
    },
}

pub struct Vm {
    pub decider: health::Decider,
    pub floor_servers: u32,
    pub holder: health::EjectionHolder,
    pub inbox: collections::VecDeque<Message>,
    pub known_decider: usize,
    pub log_unreachable_until_ms: u64,
    pub offset: usize,
    pub paused_until_ms: u64,
    pub servers: Vec<health::ServerState>,
    pub started_ms: u64,
    pub states_requested_ms: u64,
    pub tracker: health::LeaseTracker,
    rate_ppm: u64,
}

impl Vm {
    pub fn new(
        config: &configs::health::HealthConfig,
        name: &str,
        started_ms: u64,
        rate_ppm: u64,
        offset: usize,
    ) -> Self {
        Self {
            decider: health::Decider::new(config),
            floor_servers: u32::MAX,
            holder: health::EjectionHolder::new(),
            inbox: collections::VecDeque::new(),
            known_decider: 0,
            log_unreachable_until_ms: 0,
            offset,
            paused_until_ms: 0,
            rate_ppm,
            servers: Vec::new(),
            started_ms,
            states_requested_ms: 0,
            tracker: health::LeaseTracker::new(config, name, floor_simulation::LEASE),
        }
    }

    /// Returns the time on this VM's own clock.
    pub fn clock_ms(&self, now_ms: u64) -> u64 {
        (now_ms - self.started_ms) * self.rate_ppm / 1_000_000
    }
}
