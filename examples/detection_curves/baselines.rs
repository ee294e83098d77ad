//! Baseline policies to compare the detector with. Each entry VM decides alone.

use foxtailwinch::health;

use crate::policy;
use crate::shape;

/// Duration of an ejection, in milliseconds.
const EJECTION_MS: u64 = 30_000;
/// Number of consecutive errors after which a server is ejected.
const ERRORS_IN_A_ROW: u32 = 5;
/// Length of the fixed window, in milliseconds.
const WINDOW_MS: u64 = 10_000;
/// Minimum number of outcomes in a window for a server to be compared.
const WINDOW_OUTCOMES_MIN: u64 = 5;
/// Multiple of the median latency of the servers above which a server is ejected.
const WINDOW_SLOWDOWN: u64 = 3;
/// Difference to the median share of failures above which a server is ejected, in
/// percentage points.
const WINDOW_FAILED_PERCENT: u64 = 30;
/// Number of consecutive failed health probes after which a server is ejected.
const PROBES_IN_A_ROW: u32 = 3;

fn weight(ejected_until_ms: &[u64], now_ms: u64, server: usize) -> u32 {
    if ejected_until_ms[server] > now_ms {
        0
    } else {
        1_000
    }
}

/// Ejects a server after a number of consecutive errors.
pub struct ConsecutiveErrors {
    ejected_until_ms: Vec<u64>,
    errors: Vec<u32>,
}

impl ConsecutiveErrors {
    pub fn new(shape: &shape::Shape) -> Self {
        Self {
            ejected_until_ms: vec![0; shape.server_count],
            errors: vec![0; shape.server_count],
        }
    }
}

impl policy::Policy for ConsecutiveErrors {
    fn observe(
        &mut self,
        now_ms: u64,
        server: usize,
        outcome: health::Outcome,
    ) -> Vec<policy::Message> {
        if outcome.kind == health::OutcomeKind::Answered {
            self.errors[server] = 0;
            return Vec::new();
        }
        self.errors[server] += 1;
        if self.errors[server] >= ERRORS_IN_A_ROW {
            self.errors[server] = 0;
            self.ejected_until_ms[server] = now_ms + EJECTION_MS;
        }
        Vec::new()
    }

    fn advance(&mut self, _now_ms: u64) -> Vec<policy::Message> {
        Vec::new()
    }

    fn weight_permille(&self, now_ms: u64, server: usize) -> u32 {
        weight(&self.ejected_until_ms, now_ms, server)
    }
}

/// Ejects servers whose mean latency or share of failures in a fixed window is
/// far above the median of all servers.
pub struct FixedWindow {
    began_ms: u64,
    ejected_until_ms: Vec<u64>,
    windows: Vec<Window>,
}

#[derive(Clone, Copy, Default)]
struct Window {
    failed: u64,
    latency_us: u64,
    outcomes: u64,
}

impl Window {
    fn mean_us(self) -> u64 {
        self.latency_us / self.outcomes.max(1)
    }

    fn failed_percent(self) -> u64 {
        self.failed * 100 / self.outcomes.max(1)
    }
}

impl FixedWindow {
    pub fn new(shape: &shape::Shape) -> Self {
        Self {
            began_ms: 0,
            ejected_until_ms: vec![0; shape.server_count],
            windows: vec![Window::default(); shape.server_count],
        }
    }

    fn close_window(&mut self, now_ms: u64) {
        let judged: Vec<Window> = self
            .windows
            .iter()
            .copied()
            .filter(|window| window.outcomes >= WINDOW_OUTCOMES_MIN)
            .collect();
        let median_us = median(judged.iter().map(|window| window.mean_us()));
        let median_percent = median(judged.iter().map(|window| window.failed_percent()));
        for (server, window) in self.windows.iter_mut().enumerate() {
            let is_judged = window.outcomes >= WINDOW_OUTCOMES_MIN;
            let is_slow = window.mean_us() > median_us * WINDOW_SLOWDOWN;
            let is_failing = window.failed_percent() > median_percent + WINDOW_FAILED_PERCENT;
            if is_judged && (is_slow || is_failing) {
                self.ejected_until_ms[server] = now_ms + EJECTION_MS;
            }
            *window = Window::default();
        }
    }
}

fn median(values: impl Iterator<Item = u64>) -> u64 {
    let mut values: Vec<u64> = values.collect();
    values.sort_unstable();
    values
        .get(values.len() / 2)
        .copied()
        .unwrap_or(u64::MAX / 100)
}

impl policy::Policy for FixedWindow {
    fn observe(
        &mut self,
        _now_ms: u64,
        server: usize,
        outcome: health::Outcome,
    ) -> Vec<policy::Message> {
        let window = &mut self.windows[server];
        window.outcomes += 1;
        window.latency_us += outcome.latency_us;
        window.failed += u64::from(outcome.kind != health::OutcomeKind::Answered);
        Vec::new()
    }

    fn advance(&mut self, now_ms: u64) -> Vec<policy::Message> {
        if now_ms >= self.began_ms + WINDOW_MS {
            self.began_ms = now_ms;
            self.close_window(now_ms);
        }
        Vec::new()
    }

    fn weight_permille(&self, now_ms: u64, server: usize) -> u32 {
        weight(&self.ejected_until_ms, now_ms, server)
    }
}

/// Ejects servers by probes of their health endpoints alone.
pub struct HealthProbes {
    ejected: Vec<bool>,
    failed: Vec<u32>,
}

impl HealthProbes {
    pub fn new(shape: &shape::Shape) -> Self {
        Self {
            ejected: vec![false; shape.server_count],
            failed: vec![0; shape.server_count],
        }
    }
}

impl policy::Policy for HealthProbes {
    fn observe(
        &mut self,
        _now_ms: u64,
        _server: usize,
        _outcome: health::Outcome,
    ) -> Vec<policy::Message> {
        Vec::new()
    }

    fn advance(&mut self, _now_ms: u64) -> Vec<policy::Message> {
        Vec::new()
    }

    fn weight_permille(&self, _now_ms: u64, server: usize) -> u32 {
        if self.ejected[server] { 0 } else { 1_000 }
    }

    fn probe(&mut self, _now_ms: u64, server: usize, is_ok: bool) {
        self.failed[server] = if is_ok { 0 } else { self.failed[server] + 1 };
        self.ejected[server] = self.failed[server] >= PROBES_IN_A_ROW;
    }
}
