//! Simulation of servers, callers and entry VMs in virtual time.

use std::cmp;
use std::collections;
use std::net;

use foxtailwinch::configs;
use foxtailwinch::health;
use foxtailwinch::state_machine::StateMachine as _;
use rand::Rng as _;
use rand::SeedableRng as _;

use crate::gray_mode;
use crate::policy;
use crate::shape;

/// Network round trip between an entry VM and a server, in microseconds.
const NETWORK_US: u64 = 1_000;
/// Standard deviation of the logarithm of the service time.
const SERVICE_TIME_SIGMA: f64 = 0.5;
/// Share of requests that take `TAIL_FACTOR` times as long on a healthy server.
const TAIL_SHARE: f64 = 0.01;
const TAIL_FACTOR: f64 = 10.0;
/// Share of requests that fail on a healthy server.
const HEALTHY_FAILED_SHARE: f64 = 0.000_2;
/// Mean time between pauses of a server, in microseconds.
const PAUSE_INTERVAL_US: f64 = 60e6;
/// Length of a pause of a server, in microseconds.
const PAUSE_US: u64 = 150_000;
const STEP_US: u64 = 20_000;
const PROBE_INTERVAL_MS: u64 = 5_000;
/// Time from a cold start until the VMs and the decider know of it, in
/// milliseconds.
const COLD_REPORT_DELAY_MS: u64 = 200;
/// Duration of a cold start, in milliseconds.
const COLD_MS: u64 = 10_000;

type EventQueue = collections::BinaryHeap<cmp::Reverse<(u64, u64, Event)>>;

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrival,
    Done { kind: AttemptEnd, request: Request },
    Step,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum AttemptEnd {
    Answered,
    Failed,
    Mismatched,
    TimedOut,
    Unreachable,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Request {
    sent_us: u64,
    server: usize,
    vm: usize,
}

#[derive(Default)]
struct Server {
    busy: usize,
    paused_until_us: u64,
    queue: collections::VecDeque<Request>,
}

/// Results of a run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Late, wrong or missing responses of the faulty server after the fault.
    pub bad_responses: u64,
    /// Number of times that a server that should stay in use was ejected by at least
    /// one VM.
    pub false_ejections: u64,
    /// Time from the fault until the first VM ejects the faulty server.
    pub first_ejected_ms: Option<u64>,
    /// Time from the fault until every VM has ejected the faulty server.
    pub all_ejected_ms: Option<u64>,
    /// Time from the fault until every VM sends the faulty server at most 5 percent
    /// of its usual requests.
    pub all_avoiding_ms: Option<u64>,
    pub requests: u64,
}

pub struct Simulation {
    decider: health::Decider,
    fault_at_us: u64,
    false_ejected: Vec<bool>,
    mode: gray_mode::GrayMode,
    now_us: u64,
    policies: Vec<Box<dyn policy::Policy>>,
    queue: EventQueue,
    random: rand::rngs::SmallRng,
    report: Report,
    sequence: u64,
    server_ids: Vec<String>,
    servers: Vec<Server>,
    shape: shape::Shape,
}

/// Index of the faulty server.
const FAULTY: usize = 0;

impl Simulation {
    pub fn new(
        shape: &shape::Shape,
        mode: gray_mode::GrayMode,
        fault_at_ms: u64,
        policies: Vec<Box<dyn policy::Policy>>,
        seed: u64,
    ) -> Self {
        let mut simulation = Self {
            decider: health::Decider::new(&configs::health::HealthConfig::default()),
            fault_at_us: fault_at_ms * 1_000,
            false_ejected: vec![false; shape.server_count],
            mode,
            now_us: 0,
            policies,
            queue: EventQueue::new(),
            random: rand::rngs::SmallRng::seed_from_u64(seed),
            report: Report::default(),
            sequence: 0,
            server_ids: shape.server_ids(),
            servers: (0..shape.server_count).map(|_| Server::default()).collect(),
            shape: shape.clone(),
        };
        simulation.push(0, Event::Arrival);
        simulation.push(0, Event::Step);
        simulation
    }

    pub fn run(mut self, end_ms: u64, stops_when_ejected: bool) -> Report {
        while let Some(cmp::Reverse((at_us, _, event))) = self.queue.pop() {
            let is_finished = stops_when_ejected && self.report.all_ejected_ms.is_some();
            if at_us > end_ms * 1_000 || is_finished {
                break;
            }
            self.now_us = at_us;
            match event {
                Event::Arrival => self.arrive(),
                Event::Done { kind, request } => self.finish(kind, request),
                Event::Step => self.step(),
            }
        }
        self.report
    }

    fn now_ms(&self) -> u64 {
        self.now_us / 1_000
    }

    fn push(&mut self, at_us: u64, event: Event) {
        self.sequence += 1;
        self.queue.push(cmp::Reverse((at_us, self.sequence, event)));
    }

    fn is_at_fault(&self, server: usize) -> bool {
        let is_affected =
            server == FAULTY || matches!(self.mode, gray_mode::GrayMode::ServiceWide { .. });
        let is_over = self.mode == gray_mode::GrayMode::Cold
            && self.now_us >= self.fault_at_us + COLD_MS * 1_000;
        is_affected
            && self.mode != gray_mode::GrayMode::None
            && self.now_us >= self.fault_at_us
            && !is_over
    }

    fn exponential_us(&mut self, mean_us: f64) -> u64 {
        let uniform: f64 = self.random.random_range(f64::EPSILON..1.0);
        to_us(-uniform.ln() * mean_us)
    }

    fn service_time_us(&mut self) -> f64 {
        let radius = (-2.0 * self.random.random_range(f64::EPSILON..1.0f64).ln()).sqrt();
        let angle = self.random.random_range(0.0..std::f64::consts::TAU);
        let body = (SERVICE_TIME_SIGMA * radius * angle.cos()).exp();
        let tail = if self.random.random_bool(TAIL_SHARE) {
            TAIL_FACTOR
        } else {
            1.0
        };
        self.shape.service_time_us * body * tail
    }

    fn arrive(&mut self) {
        let wait_us = self.exponential_us(1e6 / self.shape.arrivals_per_s());
        self.push(self.now_us + wait_us, Event::Arrival);
        self.report.requests += 1;
        let vm = self.random.random_range(0..self.policies.len());
        let Some(server) = self.choose(vm) else {
            return;
        };
        let request = Request {
            sent_us: self.now_us,
            server,
            vm,
        };
        let is_unreachable = self.mode == gray_mode::GrayMode::OneSide
            && self.is_at_fault(server)
            && vm < self.policies.len() / 2;
        if is_unreachable {
            let kind = AttemptEnd::Unreachable;
            self.push(self.now_us + NETWORK_US, Event::Done { kind, request });
        } else if self.servers[server].busy < self.shape.slot_count {
            self.serve(request);
        } else if self.servers[server].queue.len() < self.shape.slot_count * 2 {
            self.servers[server].queue.push_back(request);
        }
    }

    /// Chooses the less loaded of two random servers, which are sampled by the
    /// weights of the VM's policy.
    fn choose(&mut self, vm: usize) -> Option<usize> {
        let first = self.pick(vm)?;
        let second = self.pick(vm)?;
        Some(if self.load(second) < self.load(first) {
            second
        } else {
            first
        })
    }

    fn load(&self, server: usize) -> usize {
        if self.mode == gray_mode::GrayMode::Misleading && self.is_at_fault(server) {
            return 0;
        }
        self.servers[server].busy + self.servers[server].queue.len()
    }

    fn pick(&mut self, vm: usize) -> Option<usize> {
        let now_ms = self.now_ms();
        let weight = |server| self.policies[vm].weight_permille(now_ms, server);
        let total: u32 = (0..self.servers.len()).map(weight).sum();
        if total == 0 {
            return None;
        }
        let mut left = self.random.random_range(0..total);
        for server in 0..self.servers.len() {
            let weight = self.policies[vm].weight_permille(now_ms, server);
            if left < weight {
                return Some(server);
            }
            left -= weight;
        }
        None
    }

    fn serve(&mut self, request: Request) {
        self.servers[request.server].busy += 1;
        let since_ms = self.now_us.saturating_sub(self.fault_at_us) / 1_000;
        let is_at_fault = self.is_at_fault(request.server);
        let slowdown = if is_at_fault {
            self.mode.slowdown(since_ms)
        } else {
            1.0
        };
        let mut run_us = to_us(self.service_time_us() * slowdown);
        let pause_us = self.servers[request.server]
            .paused_until_us
            .saturating_sub(self.now_us);
        run_us += pause_us;
        let mut kind = AttemptEnd::Answered;
        let failed_share = match self.mode {
            gray_mode::GrayMode::Failing { permille } if is_at_fault => f64::from(permille) / 1e3,
            _ => HEALTHY_FAILED_SHARE,
        };
        if self.random.random_bool(failed_share) {
            kind = AttemptEnd::Failed;
        }
        match self.mode {
            gray_mode::GrayMode::Wrong { permille }
                if is_at_fault && self.random.random_bool(f64::from(permille) / 1e3) =>
            {
                kind = AttemptEnd::Mismatched;
            }
            gray_mode::GrayMode::HalfAlive if is_at_fault => run_us = u64::MAX / 4,
            _ => {}
        }
        let deadline_us = request.sent_us + self.shape.deadline_ms * 1_000;
        let mut done_us = self
            .now_us
            .saturating_add(run_us)
            .saturating_add(NETWORK_US);
        if done_us > deadline_us {
            kind = AttemptEnd::TimedOut;
            done_us = deadline_us.max(self.now_us);
        }
        self.push(done_us, Event::Done { kind, request });
    }

    fn finish(&mut self, kind: AttemptEnd, request: Request) {
        if kind != AttemptEnd::Unreachable {
            self.servers[request.server].busy -= 1;
            if let Some(next) = self.servers[request.server].queue.pop_front() {
                self.serve(next);
            }
        }
        let latency_us = self.now_us - request.sent_us;
        let is_bad =
            kind != AttemptEnd::Answered || latency_us > to_us(self.shape.service_time_us) * 4;
        if self.now_us >= self.fault_at_us && request.server == FAULTY && is_bad {
            self.report.bad_responses += 1;
        }
        let outcome = health::Outcome {
            kind: match kind {
                AttemptEnd::Answered => health::OutcomeKind::Answered,
                AttemptEnd::Failed => health::OutcomeKind::Failed,
                AttemptEnd::Mismatched => health::OutcomeKind::Mismatched,
                AttemptEnd::TimedOut => health::OutcomeKind::TimedOut,
                AttemptEnd::Unreachable => health::OutcomeKind::ConnectFailed,
            },
            latency_us,
            server_id: self.server_ids[request.server].clone(),
        };
        let now_ms = self.now_ms();
        let messages = self.policies[request.vm].observe(now_ms, request.server, outcome);
        self.send(request.vm, messages);
    }

    fn send(&mut self, from: usize, messages: Vec<policy::Message>) {
        let now_ms = self.now_ms();
        let mut pending: Vec<(usize, policy::Message)> = messages
            .into_iter()
            .map(|message| (from, message))
            .collect();
        while let Some((vm, message)) = pending.pop() {
            match message {
                policy::Message::RequestEjection {
                    evidence,
                    server_id,
                } => {
                    let replies = self.request_ejection(vm, evidence, server_id);
                    pending.extend(replies.into_iter().map(|message| (vm, message)));
                }
                policy::Message::Summary(summary) => {
                    for to in (0..self.policies.len()).filter(|to| *to != vm) {
                        let replies = self.policies[to].apply_summary(now_ms, vm, summary.clone());
                        pending.extend(replies.into_iter().map(|message| (to, message)));
                    }
                }
            }
        }
    }

    fn request_ejection(
        &mut self,
        vm: usize,
        evidence: health::Evidence,
        server_id: String,
    ) -> Vec<policy::Message> {
        let now_ms = self.now_ms();
        let mut messages = Vec::new();
        let event = health::DeciderEvent::Request {
            request: health::EjectionRequest {
                requested_ms: now_ms,
                evidence,
                server_id,
            },
            from: net::SocketAddr::from(([127, 0, 0, 1], 1)),
            message_id: 0,
        };
        for action in self.decider.handle(now_ms, event) {
            if let health::DeciderAction::Respond { response, .. } = action {
                messages.extend(self.policies[vm].apply_response(now_ms, response));
            }
        }
        messages
    }

    fn step(&mut self) {
        self.push(self.now_us + STEP_US, Event::Step);
        let now_ms = self.now_ms();
        self.refresh_decider(now_ms);
        self.pause_random_servers();
        if now_ms.is_multiple_of(PROBE_INTERVAL_MS) {
            self.probe(now_ms);
        }
        for vm in 0..self.policies.len() {
            let messages = self.policies[vm].advance(now_ms);
            self.send(vm, messages);
        }
        self.record_ejections();
    }

    fn refresh_decider(&mut self, now_ms: u64) {
        if !now_ms.is_multiple_of(100) {
            return;
        }
        let states = self.states();
        if self.mode == gray_mode::GrayMode::Cold {
            for policy in &mut self.policies {
                policy.change_servers(now_ms, &states);
            }
        }
        let held = health::DeciderEvent::LeaseHeld {
            term: now_ms + 1,
            until_ms: now_ms + 10_000,
        };
        self.decider.handle(now_ms, held);
        let changed = health::DeciderEvent::ServiceChanged {
            floor_servers: self.shape.floor_servers,
            servers: states,
            states_requested_ms: now_ms,
        };
        self.decider.handle(now_ms, changed);
    }

    fn states(&self) -> Vec<health::ServerState> {
        let known_us = self.fault_at_us + COLD_REPORT_DELAY_MS * 1_000;
        let is_cold = self.mode == gray_mode::GrayMode::Cold
            && (known_us..known_us + COLD_MS * 1_000).contains(&self.now_us);
        self.server_ids
            .iter()
            .enumerate()
            .map(|(server, server_id)| health::ServerState {
                cold: is_cold && server == FAULTY,
                draining: false,
                server_id: server_id.clone(),
            })
            .collect()
    }

    fn pause_random_servers(&mut self) {
        let share = shape::to_f64(usize::try_from(STEP_US).unwrap_or(0)) / PAUSE_INTERVAL_US;
        for server in 0..self.servers.len() {
            if self.random.random_bool(share) {
                self.servers[server].paused_until_us = self.now_us + PAUSE_US;
            }
        }
    }

    fn probe(&mut self, now_ms: u64) {
        for vm in 0..self.policies.len() {
            for server in 0..self.servers.len() {
                let is_unreachable = self.mode == gray_mode::GrayMode::OneSide
                    && self.is_at_fault(server)
                    && vm < self.policies.len() / 2;
                self.policies[vm].probe(now_ms, server, !is_unreachable);
            }
        }
    }

    fn record_ejections(&mut self) {
        let now_ms = self.now_ms();
        for server in 0..self.servers.len() {
            let weights = self
                .policies
                .iter()
                .map(|policy| policy.weight_permille(now_ms, server));
            let (mut most, mut least) = (0, u32::MAX);
            for weight in weights {
                most = most.max(weight);
                least = least.min(weight);
            }
            if server == FAULTY && self.is_single_fault() && self.now_us >= self.fault_at_us {
                self.record_faulty_server(most, least);
            } else {
                let is_ejected = least == 0;
                let is_new = is_ejected && !self.false_ejected[server];
                self.report.false_ejections += u64::from(is_new);
                self.false_ejected[server] = is_ejected;
            }
        }
    }

    /// Returns whether the policies should eject the faulty server.
    fn is_single_fault(&self) -> bool {
        !matches!(
            self.mode,
            gray_mode::GrayMode::None
                | gray_mode::GrayMode::OneSide
                | gray_mode::GrayMode::Cold
                | gray_mode::GrayMode::ServiceWide { .. }
        )
    }

    fn record_faulty_server(&mut self, most: u32, least: u32) {
        let since_ms = (self.now_us - self.fault_at_us) / 1_000;
        if least == 0 {
            self.report.first_ejected_ms.get_or_insert(since_ms);
        }
        if most <= 50 {
            self.report.all_avoiding_ms.get_or_insert(since_ms);
        }
        if most == 0 {
            self.report.all_ejected_ms.get_or_insert(since_ms);
        }
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "times are positive and far below the limits"
)]
fn to_us(time_us: f64) -> u64 {
    time_us as u64
}
