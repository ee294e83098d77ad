//! Event loop of a replay.

use std::sync;

use foxtailwinch::gateway;
use foxtailwinch::ports;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand::rngs;

use crate::replay;
use crate::replay::attempt;
use crate::replay::attempt_result;
use crate::replay::caller_request;
use crate::replay::entry_vm;
use crate::replay::event;
use crate::replay::event_queue;
use crate::replay::idle_share;
use crate::replay::load;
use crate::replay::model_server;
use crate::replay::network;

/// Length of a window, in milliseconds. The contract measures the use of servers
/// over two seconds.
const WINDOW_MS: u64 = 2_000;
/// Maximum number of times that a caller resends a refused request.
const MAX_RESENDS_AFTER_REFUSAL: u32 = 3;
const MILLISECONDS_PER_S: u64 = 1_000;
/// Units of `slack_milli` per retry.
const SLACK_UNITS_PER_RETRY: u64 = 1_000;

/// Replays a scenario under one of its policies and returns the results.
#[must_use]
pub fn run(scenario: &replay::Scenario, policy: &replay::Policy, seed: u64) -> replay::Figures {
    let mut simulation = Simulation::new(scenario, policy, seed);
    while let Some((now_ms, event)) = simulation.event_queue.pop() {
        simulation.now_ms = now_ms;
        simulation.handle(event);
    }
    simulation.figures()
}

/// State of a replay under one policy.
struct Simulation<'a> {
    attempts: Vec<attempt::Attempt>,
    network: network::Network,
    now_ms: u64,
    policy: &'a replay::Policy,
    requests: Vec<caller_request::CallerRequest>,
    service_figures: Vec<replay::ServiceFigures>,
    rng: rngs::SmallRng,
    scenario: &'a replay::Scenario,
    servers: Vec<model_server::ModelServer>,
    servers_by_incarnation: indexmap::IndexMap<u64, usize>,
    event_queue: event_queue::EventQueue,
    vms: Vec<entry_vm::EntryVm<'a>>,
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a replay::Scenario, policy: &'a replay::Policy, seed: u64) -> Self {
        let zones = scenario.zones();
        let mut servers = Vec::new();
        for (index, service) in scenario.services.iter().enumerate() {
            for (zone, region) in &zones {
                for number in 0..service.servers_per_zone {
                    let location = (*zone, *region);
                    let server =
                        model_server::ModelServer::new(index, service, location, number, seed);
                    servers.push(server);
                }
            }
        }
        let backends: Vec<sync::Arc<ports::Backend>> = servers
            .iter()
            .map(|server| sync::Arc::clone(&server.backend))
            .collect();
        let mut vms = Vec::new();
        for (zone, region) in &zones {
            for _ in 0..scenario.entry_vms_per_zone {
                let location = (*zone, *region);
                vms.push(entry_vm::EntryVm::new(
                    scenario, policy, &backends, seed, location,
                ));
            }
        }
        let requests = load::requests(scenario, seed, vms.len());
        let mut event_queue = event_queue::EventQueue::default();
        for (index, request) in requests.iter().enumerate() {
            event_queue.push(
                request.first_sent_ms,
                event::Event::Arrive { request: index },
            );
        }
        for vm in 0..vms.len() {
            event_queue.push(vm as u64, event::Event::SendReport { vm });
        }
        let incarnations = servers.iter().enumerate();
        let service_figures = scenario.services.iter().map(|service| {
            let length = scenario.length_s * MILLISECONDS_PER_S / WINDOW_MS;
            replay::ServiceFigures {
                name: service.name.clone(),
                windows: vec![
                    replay::Window::default();
                    usize::try_from(length).unwrap_or_default() + 1
                ],
                ..replay::ServiceFigures::default()
            }
        });
        Self {
            attempts: Vec::new(),
            network: network::Network::new(scenario),
            now_ms: 0,
            policy,
            service_figures: service_figures.collect(),
            rng: rngs::SmallRng::seed_from_u64(seed),
            scenario,
            servers_by_incarnation: incarnations
                .map(|(index, server)| (server.backend.incarnation(), index))
                .collect(),
            servers,
            requests,
            event_queue,
            vms,
        }
    }

    fn handle(&mut self, event: event::Event) {
        match event {
            event::Event::Arrive { request } => self.arrive(request),
            event::Event::EndRun { attempt } => self.end_run(attempt),
            event::Event::Evidence {
                evidence,
                incarnation,
                vm,
            } => {
                let balancer = &mut self.vms[vm].balancer;
                balancer.record_peer_evidence(self.now_ms, incarnation, evidence);
            }
            event::Event::Overdue { attempt } => {
                if !self.attempts[attempt].is_over {
                    self.record_evidence(attempt, gateway::Evidence::Failure);
                }
            }
            event::Event::ReachServer { attempt } => self.reach_server(attempt),
            event::Event::ReachVm { attempt, result } => self.reach_vm(attempt, result),
            event::Event::Report { from, report, vm } => {
                let balancer = &mut self.vms[vm].balancer;
                balancer.apply_report(self.now_ms, from, &report);
            }
            event::Event::SendReport { vm } => self.send_report(vm),
            event::Event::TimeOut {
                request,
                sent_count,
            } => self.time_out(request, sent_count),
        }
    }

    fn arrive(&mut self, request_index: usize) {
        let now_ms = self.now_ms;
        let request = &mut self.requests[request_index];
        let service = &self.scenario.services[request.service];
        request.sent_count += 1;
        request.sent_ms = now_ms;
        request.deadline_ms = now_ms + service.timeout_ms;
        request.attempt_count = 0;
        request.may_have_run = false;
        request.tried_incarnations.clear();
        let time_out = event::Event::TimeOut {
            request: request_index,
            sent_count: request.sent_count,
        };
        self.event_queue.push(request.deadline_ms, time_out);
        let vm = &mut self.vms[request.vm];
        vm.retry_budgets[request.service].record_request(now_ms);
        vm.balancer.record_begin(now_ms, &service.name);
        self.start_attempt(request_index);
    }

    /// Chooses a server for a request and sends an attempt to it.
    fn start_attempt(&mut self, request_index: usize) {
        let now_ms = self.now_ms;
        let request = &self.requests[request_index];
        let service = &self.scenario.services[request.service];
        let vm = &mut self.vms[request.vm];
        let choice = gateway::ChoiceRequest {
            availability_zone: vm.zone,
            random_value: self.rng.random(),
            excluded: &request.tried_incarnations,
            may_retry: service.is_idempotent,
            region: vm.region,
            region_cost: self.policy.settings.distance.region_cost,
            service: &service.name,
            zone_cost: self.policy.settings.distance.zone_cost,
        };
        let mean_run_ms = vm.balancer.mean_run_ms(&service.name);
        let left_ms = request.deadline_ms.saturating_sub(now_ms);
        let Some(chosen) = vm.balancer.choose(now_ms, &choice) else {
            return self.give_up(request_index);
        };
        let slot_count = u32::try_from(service.slot_count).unwrap_or(u32::MAX);
        if gateway::cannot_meet_deadline(chosen.in_flight, slot_count, mean_run_ms, left_ms) {
            vm.balancer.record_request_end(chosen.incarnation);
            return self.give_up(request_index);
        }
        let server = self.servers_by_incarnation[&chosen.incarnation];
        let backend = &self.servers[server].backend;
        let one_way_ms = self.network.one_way_ms(vm.region, &backend.region);
        let is_cross_region = backend.region != vm.region;
        let figures = &mut self.service_figures[request.service];
        figures.attempt_count += 1;
        figures.cross_region_count += u64::from(is_cross_region);
        figures.probe_count += u64::from(chosen.is_probe);
        let attempt = self.attempts.len();
        self.attempts.push(attempt::Attempt {
            result: attempt_result::AttemptResult::Hung,
            is_over: false,
            incarnation: chosen.incarnation,
            one_way_ms,
            request: request_index,
            sent_ms: now_ms,
            server,
        });
        let overdue_ms = mean_run_ms * self.policy.settings.suspicion.slow_factor;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "run times are seconds"
        )]
        let overdue_ms = overdue_ms as u64;
        let request = &mut self.requests[request_index];
        request.current_attempt = Some(attempt);
        request.attempt_count += 1;
        request.used_probe |= chosen.is_probe;
        request.tried_incarnations.push(chosen.incarnation);
        let reach = event::Event::ReachServer { attempt };
        self.event_queue.push(now_ms + one_way_ms, reach);
        let overdue = event::Event::Overdue { attempt };
        self.event_queue.push(now_ms + overdue_ms, overdue);
    }

    fn reach_server(&mut self, attempt_index: usize) {
        let attempt = self.attempts[attempt_index];
        if attempt.is_over {
            return;
        }
        let server = &mut self.servers[attempt.server];
        match server.admit(self.now_ms, attempt_index, &self.scenario.disturbances) {
            model_server::Admission::Running => self.begin_run(attempt_index),
            model_server::Admission::Waiting => {}
            model_server::Admission::Refused => {
                self.respond(attempt_index, attempt_result::AttemptResult::Refused);
            }
        }
    }

    fn begin_run(&mut self, attempt_index: usize) {
        let attempt = self.attempts[attempt_index];
        let server = &self.servers[attempt.server];
        let run_ms = self.requests[attempt.request].run_ms;
        let disturbances = &self.scenario.disturbances;
        let (result, took_ms) = server.run(self.now_ms, attempt_index, run_ms, disturbances);
        self.attempts[attempt_index].result = result;
        if result != attempt_result::AttemptResult::Hung {
            let ended = event::Event::EndRun {
                attempt: attempt_index,
            };
            self.event_queue.push(self.now_ms + took_ms, ended);
        }
    }

    fn end_run(&mut self, attempt_index: usize) {
        let attempt = self.attempts[attempt_index];
        if attempt.is_over {
            return;
        }
        self.release_slot(attempt_index);
        self.respond(attempt_index, attempt.result);
    }

    /// Releases the server slot of an attempt and begins the next queued attempt.
    fn release_slot(&mut self, attempt_index: usize) {
        let server = self.attempts[attempt_index].server;
        if let Some(next) = self.servers[server].remove(attempt_index) {
            self.begin_run(next);
        }
    }

    /// Sends the result of an attempt to its entry VM.
    fn respond(&mut self, attempt: usize, result: attempt_result::AttemptResult) {
        let one_way_ms = self.attempts[attempt].one_way_ms;
        let event = event::Event::ReachVm { attempt, result };
        self.event_queue.push(self.now_ms + one_way_ms, event);
    }

    fn reach_vm(&mut self, attempt_index: usize, result: attempt_result::AttemptResult) {
        let now_ms = self.now_ms;
        let attempt = self.attempts[attempt_index];
        if attempt.is_over {
            return;
        }
        self.attempts[attempt_index].is_over = true;
        let request = &mut self.requests[attempt.request];
        request.current_attempt = None;
        let service = &self.scenario.services[request.service];
        let balancer = &mut self.vms[request.vm].balancer;
        balancer.record_request_end(attempt.incarnation);
        let attempt_end = match result {
            attempt_result::AttemptResult::Answered => {
                #[expect(clippy::cast_precision_loss, reason = "run times are seconds")]
                let ran_ms = (now_ms - attempt.sent_ms) as f64;
                let evidence = balancer.record_run_time(&service.name, ran_ms);
                self.record_evidence(attempt_index, evidence);
                return self.finish(attempt.request, RequestOutcome::Served);
            }
            attempt_result::AttemptResult::Failed | attempt_result::AttemptResult::Hung => {
                request.may_have_run = true;
                self.record_evidence(attempt_index, gateway::Evidence::Failure);
                gateway::AttemptEnd::AnsweredFailure
            }
            attempt_result::AttemptResult::Refused => {
                balancer.record_shed(now_ms, attempt.incarnation);
                gateway::AttemptEnd::Refused
            }
        };
        if self.try_retry(attempt.request, attempt_end) {
            self.start_attempt(attempt.request);
        } else {
            self.give_up(attempt.request);
        }
    }

    /// Returns whether a request may be retried, and uses the retry budget if so.
    fn try_retry(&mut self, request_index: usize, end: gateway::AttemptEnd) -> bool {
        let request = &self.requests[request_index];
        let service = &self.scenario.services[request.service];
        let vm = &mut self.vms[request.vm];
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "run times are seconds"
        )]
        let mean_run_ms = vm.balancer.mean_run_ms(&service.name) as u64;
        let retry_context = gateway::RetryContext {
            servers_reached_count: request.attempt_count,
            connect_failures_count: 0,
            time_left_ms: request.deadline_ms.saturating_sub(self.now_ms),
            max_attempts: service.max_attempts,
            may_repeat: service.is_idempotent,
            mean_run_ms,
        };
        let vm_count = self.scenario.zones().len() * self.scenario.entry_vms_per_zone;
        let percent = self.policy.settings.retry_slack_percent;
        let slack_milli = self.scenario.retry.slack_count * SLACK_UNITS_PER_RETRY * percent / 100;
        let slack_milli = slack_milli / vm_count.max(1) as u64;
        let is_allowed = match gateway::decide_retry(end, &retry_context) {
            gateway::RetryDecision::GiveUp => false,
            gateway::RetryDecision::RetryOutsideBudget(_) => true,
            gateway::RetryDecision::RetryWithinBudget(_) => {
                vm.retry_budgets[request.service].try_retry(self.now_ms, slack_milli)
            }
        };
        self.service_figures[request.service].retry_count += u64::from(is_allowed);
        is_allowed
    }

    /// Responds to the caller without a successful attempt: with a failure if the
    /// request may have run, otherwise with a refusal and a retry-after time.
    fn give_up(&mut self, request_index: usize) {
        let request = &self.requests[request_index];
        let outcome = if request.may_have_run {
            RequestOutcome::Failed
        } else {
            RequestOutcome::Refused
        };
        self.finish(request_index, outcome);
    }

    fn time_out(&mut self, request_index: usize, sent_count: u32) {
        let request = &self.requests[request_index];
        if request.is_over || request.sent_count != sent_count {
            return;
        }
        if let Some(attempt) = request.current_attempt {
            let incarnation = self.attempts[attempt].incarnation;
            self.attempts[attempt].is_over = true;
            self.vms[request.vm]
                .balancer
                .record_request_end(incarnation);
            self.release_slot(attempt);
        } else {
            // The caller is waiting to resend the request, so none is in flight.
            return;
        }
        self.requests[request_index].current_attempt = None;
        self.finish(request_index, RequestOutcome::Failed);
    }

    /// Ends one sending of a request. The caller resends the request or its final
    /// outcome is counted.
    fn finish(&mut self, request_index: usize, outcome: RequestOutcome) {
        let now_ms = self.now_ms;
        let request = &mut self.requests[request_index];
        let service = &self.scenario.services[request.service];
        let vm = &mut self.vms[request.vm];
        if outcome != RequestOutcome::Served && !request.used_probe {
            vm.balancer.record_unserved(now_ms, &service.name);
        }
        let repeat = self.scenario.disturbances.iter().find(|disturbance| {
            disturbance.kind == replay::DisturbanceKind::Repeat
                && disturbance.affects(now_ms, &service.name)
        });
        let resend = event::Event::Arrive {
            request: request_index,
        };
        if outcome != RequestOutcome::Served
            && repeat
                .is_some_and(|disturbance| f64::from(request.sent_count) <= disturbance.strength)
        {
            self.event_queue.push(now_ms + 1, resend);
            return;
        }
        let may_resend = self.scenario.callers_honor_retry_after
            && request.sent_count <= MAX_RESENDS_AFTER_REFUSAL;
        if outcome == RequestOutcome::Refused && may_resend {
            let mean_run_ms = vm.balancer.mean_run_ms(&service.name);
            let wait_ms = gateway::retry_after_ms(mean_run_ms, self.rng.random());
            self.service_figures[request.service].held_ms += now_ms - request.sent_ms;
            self.event_queue.push(now_ms + wait_ms, resend);
            return;
        }
        request.is_over = true;
        let window_index = usize::try_from(request.first_sent_ms / WINDOW_MS).unwrap_or(usize::MAX);
        let figures = &mut self.service_figures[request.service];
        if outcome == RequestOutcome::Refused {
            figures.held_ms += now_ms - request.sent_ms;
        }
        let Some(window) = figures.windows.get_mut(window_index) else {
            return;
        };
        window.request_count += 1;
        match outcome {
            RequestOutcome::Failed => window.failed_count += 1,
            RequestOutcome::Refused => window.refused_count += 1,
            RequestOutcome::Served => {
                let is_late = now_ms - request.first_sent_ms > service.target_latency_ms;
                window.late_count += u64::from(is_late);
            }
        }
    }

    /// Records evidence at the VM of an attempt and sends it to the other VMs of the
    /// region if they need it.
    fn record_evidence(&mut self, attempt_index: usize, evidence: gateway::Evidence) {
        let attempt = self.attempts[attempt_index];
        let sender = self.requests[attempt.request].vm;
        let vm = &mut self.vms[sender];
        let region = vm.region;
        let should_notify_peers =
            vm.balancer
                .record_evidence(self.now_ms, attempt.incarnation, evidence);
        if !should_notify_peers {
            return;
        }
        let peers = self.vms.iter().enumerate();
        let peers = peers.filter(|(peer, vm)| *peer != sender && vm.region == region);
        for (peer, vm) in peers {
            let at_ms = self.now_ms + self.network.one_way_ms(region, vm.region);
            let event = event::Event::Evidence {
                evidence,
                incarnation: attempt.incarnation,
                vm: peer,
            };
            self.event_queue.push(at_ms, event);
        }
    }

    /// Sends the load report of a VM to the other VMs of its region and schedules the
    /// next report.
    fn send_report(&mut self, sender: usize) {
        let region = self.vms[sender].region;
        if let Some(report) = self.vms[sender].balancer.take_report() {
            let report = sync::Arc::new(report);
            let peers = self.vms.iter().enumerate();
            let peers = peers.filter(|(peer, vm)| *peer != sender && vm.region == region);
            for (peer, vm) in peers {
                let at_ms = self.now_ms + self.network.one_way_ms(region, vm.region);
                let event = event::Event::Report {
                    from: sender,
                    report: sync::Arc::clone(&report),
                    vm: peer,
                };
                self.event_queue.push(at_ms, event);
            }
        }
        if self.now_ms < self.scenario.length_s * MILLISECONDS_PER_S {
            let next_ms = self.now_ms + self.policy.settings.load_report_interval_ms;
            let next = event::Event::SendReport { vm: sender };
            self.event_queue.push(next_ms, next);
        }
    }

    fn figures(mut self) -> replay::Figures {
        let end_ms = self.scenario.length_s * MILLISECONDS_PER_S;
        for (index, figures) in self.service_figures.iter_mut().enumerate() {
            let servers = self.servers.iter();
            let servers = servers.filter(|server| server.service == index);
            let arrivals: Vec<&[u64]> = servers
                .map(|server| server.arrivals_ms.as_slice())
                .collect();
            figures.worst_idle_share = idle_share::worst(&arrivals, &figures.windows, end_ms);
        }
        replay::Figures {
            policy: self.policy.name.clone(),
            services: self.service_figures,
        }
    }
}

/// Final outcome of a request for its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RequestOutcome {
    Failed,
    Refused,
    Served,
}
