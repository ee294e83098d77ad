//! Callers, and the admission of their requests at the entry VMs.

use std::f64::consts;
use std::time;

use foxtailwinch::admission;
use rand::Rng as _;

use super::event;
use super::fleet;
use super::request;
use super::scenario;
use super::tally;

/// Standard deviation of the logarithm of run times; the 99th percentile is about
/// six times the mean.
const RUN_TIME_SIGMA: f64 = 1.0;

impl fleet::Fleet {
    /// Starts the first attempt of a caller and schedules the next caller.
    pub(super) fn start_next_caller(&mut self) {
        if self.now_us >= self.scenario.end_us() {
            return;
        }
        let load_percent = self.scenario.load_percent(self.now_us);
        let percent_per_s = (self.scenario.capacity_per_s() * load_percent).max(1);
        let per_s = to_f64(percent_per_s) / 100.0;
        let wait_s = -(1.0 - self.random.random::<f64>()).ln() / per_s;
        self.push_in(to_us(wait_s * 1e6), event::Event::NextCaller);
        let organisation = self.sample_organisation();
        let run_us = self.sample_run_us();
        self.tally.record_offer(self.now_us, organisation);
        let attempts_left = self.scenario.attempts - 1;
        self.schedule_attempt(0, organisation, run_us, attempts_left);
    }

    /// Handles the arrival of a request at its entry VM.
    pub(super) fn arrive(&mut self, request: usize) {
        let now_ms = self.now_ms();
        let arrived = &self.requests[request];
        let vm = arrived.vm;
        self.vms[vm].retry_budget.record_first_attempt(now_ms);
        if !self.scenario.has_overload_protection {
            self.choose_server(request);
            return;
        }
        let event = admission::GateEvent::Arrive {
            deadline_ms: arrived.deadline_us / 1_000,
            expected_run_ms: self.scenario.mean_run_ms,
            organisation: arrived.organisation.to_string(),
            request_id: request as u64,
        };
        self.handle_gate_event(vm, event);
    }

    /// Ends a request whose caller stops waiting.
    pub(super) fn expire_caller(&mut self, request: usize) {
        if self.requests[request].is_done {
            return;
        }
        self.requests[request].is_done = true;
        if self.scenario.has_overload_protection {
            self.cancel(request);
        }
        self.schedule_retry(request, None);
    }

    /// Refuses a request without running it.
    pub(super) fn refuse(&mut self, request: usize, retry_after_ms: u64) {
        if self.requests[request].is_done {
            return;
        }
        self.requests[request].is_done = true;
        self.tally.refused += 1;
        self.release_gate(request);
        self.schedule_retry(request, Some(retry_after_ms));
    }

    /// Notifies the gate that a request has ended.
    pub(super) fn release_gate(&mut self, request: usize) {
        let vm = self.requests[request].vm;
        let request_id = request as u64;
        if self.scenario.has_overload_protection {
            self.handle_gate_event(vm, admission::GateEvent::Cancel { request_id });
        }
    }

    fn schedule_retry(&mut self, request: usize, retry_after_ms: Option<u64>) {
        let ended = &self.requests[request];
        let (organisation, run_us) = (ended.organisation, ended.run_us);
        let Some(attempts_left) = ended.attempts_left.checked_sub(1) else {
            return;
        };
        let wait_us = match self.scenario.callers {
            scenario::Callers::ComeBack => retry_after_ms.unwrap_or(0) * 1_000,
            scenario::Callers::GiveUp => return,
            scenario::Callers::SendAgain => 0,
        };
        self.schedule_attempt(wait_us, organisation, run_us, attempts_left);
    }

    fn schedule_attempt(
        &mut self,
        wait_us: u64,
        organisation: usize,
        run_us: u64,
        attempts_left: u32,
    ) {
        let arrived_us = self.now_us + wait_us;
        let vm = self.sample_vm();
        let request = self.requests.len();
        self.requests.push(request::Request {
            arrived_us,
            attempts_left,
            deadline_us: arrived_us + self.scenario.deadline_ms * 1_000,
            excluded: None,
            failed_sends: 0,
            is_done: false,
            organisation,
            run_us,
            sends: 0,
            server: None,
            vm,
        });
        self.push_in(wait_us, event::Event::Arrive { request });
        let deadline_us = wait_us + self.scenario.deadline_ms * 1_000;
        self.push_in(deadline_us, event::Event::CallerDeadline { request });
    }

    /// Returns a random entry VM; each region gets requests in proportion to its
    /// servers.
    fn sample_vm(&mut self) -> usize {
        let server = self.random.random_range(0..self.backends.len());
        let region = self.backends[server].zone / 2;
        loop {
            let vm = self.random.random_range(0..self.vms.len());
            if self.vms[vm].zone / 2 == region {
                return vm;
            }
        }
    }

    fn sample_organisation(&mut self) -> usize {
        if self.random.random::<bool>() {
            return 0;
        }
        self.random.random_range(1..tally::ORGANISATION_COUNT)
    }

    /// Returns a random run time from a log-normal distribution.
    fn sample_run_us(&mut self) -> u64 {
        let radius = (-2.0 * (1.0 - self.random.random::<f64>()).ln()).sqrt();
        let angle = consts::TAU * self.random.random::<f64>();
        let normal = radius * angle.cos();
        let mean_us = to_f64(self.scenario.mean_run_ms) * 1_000.0;
        let log_mean = mean_us.ln() - RUN_TIME_SIGMA * RUN_TIME_SIGMA / 2.0;
        to_us((log_mean + RUN_TIME_SIGMA * normal).exp()).max(1)
    }
}

/// Rounds a non-negative time down to microseconds.
fn to_us(time_us: f64) -> u64 {
    let micros = time::Duration::from_secs_f64(time_us / 1e6).as_micros();
    u64::try_from(micros).unwrap_or(u64::MAX)
}

fn to_f64(number: u64) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}
