//! The replay's loop.

use std::sync;

use foxtailwinch::gateway;
use foxtailwinch::ports;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand::rngs;

use crate::replay;
use crate::replay::attempt;
use crate::replay::caller_request;
use crate::replay::entry_vm;
use crate::replay::event;
use crate::replay::idle_share;
use crate::replay::load;
use crate::replay::model_server;
use crate::replay::network;
use crate::replay::run_end;
use crate::replay::timeline;

/// Width of the windows, in milliseconds: the contract looks at two seconds.
const WINDOW_MS: u64 = 2_000;
/// Most times that a caller comes back.
const MAX_RETURNS: u32 = 3;
/// Milliseconds in a second.
const MILLISECONDS_PER_S: u64 = 1_000;
/// Thousandths in one.
const MILLI: u64 = 1_000;

/// Replays a scenario under one of its policies.
#[must_use]
pub fn run(scenario: &replay::Scenario, policy: &replay::Policy, seed: u64) -> replay::Figures {
    let mut world = World::new(scenario, policy, seed);
    while let Some((now_ms, event)) = world.timeline.next() {
        world.now_ms = now_ms;
        world.handle(event);
    }
    world.figures()
}

struct World<'a> {
    attempts: Vec<attempt::Attempt>,
    network: network::Network,
    now_ms: u64,
    policy: &'a replay::Policy,
    requests: Vec<caller_request::CallerRequest>,
    results: Vec<replay::ServiceFigures>,
    rng: rngs::SmallRng,
    scenario: &'a replay::Scenario,
    servers: Vec<model_server::ModelServer>,
    servers_by_lifetime: indexmap::IndexMap<u64, usize>,
    timeline: timeline::Timeline,
    vms: Vec<entry_vm::EntryVm<'a>>,
}

impl<'a> World<'a> {
    fn new(scenario: &'a replay::Scenario, policy: &'a replay::Policy, seed: u64) -> Self {
        let zones = scenario.zones();
        let mut servers = Vec::new();
        for (number, service) in scenario.services.iter().enumerate() {
            for (zone, region) in &zones {
                for count in 0..service.servers_per_zone {
                    let place = (*zone, *region);
                    let server =
                        model_server::ModelServer::new(number, service, place, count, seed);
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
                let place = (*zone, *region);
                vms.push(entry_vm::EntryVm::new(
                    scenario, policy, &backends, seed, place,
                ));
            }
        }
        let requests = load::requests(scenario, seed, vms.len());
        let mut timeline = timeline::Timeline::default();
        for (number, request) in requests.iter().enumerate() {
            timeline.add(request.came_ms, event::Event::Arrive { request: number });
        }
        for vm in 0..vms.len() {
            timeline.add(vm as u64, event::Event::SendReport { vm });
        }
        let lifetimes = servers.iter().enumerate();
        let results = scenario.services.iter().map(|service| {
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
            results: results.collect(),
            rng: rngs::SmallRng::seed_from_u64(seed),
            scenario,
            servers_by_lifetime: lifetimes
                .map(|(number, server)| (server.backend.incarnation(), number))
                .collect(),
            servers,
            requests,
            timeline,
            vms,
        }
    }

    fn handle(&mut self, event: event::Event) {
        match event {
            event::Event::Arrive { request } => self.arrive(request),
            event::Event::EndRun { attempt } => self.end_run(attempt),
            event::Event::Evidence {
                evidence,
                lifetime,
                vm,
            } => {
                let placement = &mut self.vms[vm].placement;
                placement.note_peer_evidence(self.now_ms, lifetime, evidence);
            }
            event::Event::Overdue { attempt } => {
                if !self.attempts[attempt].is_over {
                    self.note_evidence(attempt, gateway::Evidence::Failure);
                }
            }
            event::Event::ReachServer { attempt } => self.reach_server(attempt),
            event::Event::ReachVm { attempt, end } => self.reach_vm(attempt, end),
            event::Event::Report { from, report, vm } => {
                let placement = &mut self.vms[vm].placement;
                placement.note_report(self.now_ms, from, &report);
            }
            event::Event::SendReport { vm } => self.send_report(vm),
            event::Event::TimeOut {
                request,
                sent_count,
            } => self.time_out(request, sent_count),
        }
    }

    fn arrive(&mut self, number: usize) {
        let now_ms = self.now_ms;
        let request = &mut self.requests[number];
        let service = &self.scenario.services[request.service];
        request.sent_count += 1;
        request.sent_ms = now_ms;
        request.limit_ms = now_ms + service.timeout_ms;
        request.arrivals_count = 0;
        request.may_have_run = false;
        request.tried.clear();
        let time_out = event::Event::TimeOut {
            request: number,
            sent_count: request.sent_count,
        };
        self.timeline.add(request.limit_ms, time_out);
        self.vms[request.vm].ledgers[request.service].record_request(now_ms);
        self.place(number);
    }

    fn place(&mut self, number: usize) {
        let now_ms = self.now_ms;
        let request = &self.requests[number];
        let service = &self.scenario.services[request.service];
        let vm = &mut self.vms[request.vm];
        let choice = gateway::ChoiceRequest {
            availability_zone: vm.zone,
            random_value: self.rng.random(),
            excluded: &request.tried,
            region: vm.region,
            region_cost: self.policy.settings.distance.region_cost,
            service: &service.name,
            zone_cost: self.policy.settings.distance.zone_cost,
        };
        let usual_ms = vm.placement.mean_run_ms(&service.name);
        let left_ms = request.limit_ms.saturating_sub(now_ms);
        let Some(placed) = vm.placement.choose(now_ms, &choice) else {
            return self.give_up(number);
        };
        let slot_count = u32::try_from(service.slot_count).unwrap_or(u32::MAX);
        if gateway::cannot_meet_deadline(placed.in_flight, slot_count, usual_ms, left_ms) {
            vm.placement.note_end(placed.lifetime);
            return self.give_up(number);
        }
        let server = self.servers_by_lifetime[&placed.lifetime];
        let backend = &self.servers[server].backend;
        let one_way_ms = self.network.one_way_ms(vm.region, &backend.region);
        let is_far = backend.region != vm.region;
        let result = &mut self.results[request.service];
        result.arrivals_count += 1;
        result.far_count += u64::from(is_far);
        result.probe_count += u64::from(placed.is_probe);
        let attempt = self.attempts.len();
        self.attempts.push(attempt::Attempt {
            end: run_end::RunEnd::Hung,
            is_over: false,
            lifetime: placed.lifetime,
            one_way_ms,
            request: number,
            sent_ms: now_ms,
            server,
        });
        let overdue_ms = usual_ms * self.policy.settings.suspicion.slow_factor;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "run times are seconds"
        )]
        let overdue_ms = overdue_ms as u64;
        let request = &mut self.requests[number];
        request.current = Some(attempt);
        request.arrivals_count += 1;
        request.has_probed |= placed.is_probe;
        request.tried.push(placed.lifetime);
        let reach = event::Event::ReachServer { attempt };
        self.timeline.add(now_ms + one_way_ms, reach);
        let overdue = event::Event::Overdue { attempt };
        self.timeline.add(now_ms + overdue_ms, overdue);
    }

    fn reach_server(&mut self, number: usize) {
        let attempt = self.attempts[number];
        if attempt.is_over {
            return;
        }
        let server = &mut self.servers[attempt.server];
        match server.take(self.now_ms, number, &self.scenario.troubles) {
            model_server::Taken::Running => self.begin_run(number),
            model_server::Taken::Waiting => {}
            model_server::Taken::Refused => self.answer(number, run_end::RunEnd::Refused),
        }
    }

    fn begin_run(&mut self, number: usize) {
        let attempt = self.attempts[number];
        let server = &self.servers[attempt.server];
        let run_ms = self.requests[attempt.request].run_ms;
        let troubles = &self.scenario.troubles;
        let (end, took_ms) = server.run(self.now_ms, number, run_ms, troubles);
        self.attempts[number].end = end;
        if end != run_end::RunEnd::Hung {
            let ended = event::Event::EndRun { attempt: number };
            self.timeline.add(self.now_ms + took_ms, ended);
        }
    }

    fn end_run(&mut self, number: usize) {
        let attempt = self.attempts[number];
        if attempt.is_over {
            return;
        }
        self.free_slot(number);
        self.answer(number, attempt.end);
    }

    /// Ends a server's work on an attempt; the next one that waits begins.
    fn free_slot(&mut self, number: usize) {
        let server = self.attempts[number].server;
        if let Some(next) = self.servers[server].end(number) {
            self.begin_run(next);
        }
    }

    fn answer(&mut self, attempt: usize, end: run_end::RunEnd) {
        let one_way_ms = self.attempts[attempt].one_way_ms;
        let back = event::Event::ReachVm { attempt, end };
        self.timeline.add(self.now_ms + one_way_ms, back);
    }

    fn reach_vm(&mut self, number: usize, end: run_end::RunEnd) {
        let now_ms = self.now_ms;
        let attempt = self.attempts[number];
        if attempt.is_over {
            return;
        }
        self.attempts[number].is_over = true;
        let request = &mut self.requests[attempt.request];
        request.current = None;
        let service = &self.scenario.services[request.service];
        let placement = &mut self.vms[request.vm].placement;
        placement.note_end(attempt.lifetime);
        let attempt_end = match end {
            run_end::RunEnd::Answered => {
                #[expect(clippy::cast_precision_loss, reason = "run times are seconds")]
                let ran_ms = (now_ms - attempt.sent_ms) as f64;
                let evidence = placement.note_run_time(&service.name, ran_ms);
                self.note_evidence(number, evidence);
                return self.finish(attempt.request, End::Served);
            }
            run_end::RunEnd::Failed | run_end::RunEnd::Hung => {
                request.may_have_run = true;
                self.note_evidence(number, gateway::Evidence::Failure);
                gateway::AttemptEnd::AnsweredFailure
            }
            run_end::RunEnd::Refused => {
                placement.note_shed(now_ms, attempt.lifetime);
                gateway::AttemptEnd::Refused
            }
        };
        if self.may_retry(attempt.request, attempt_end) {
            self.place(attempt.request);
        } else {
            self.give_up(attempt.request);
        }
    }

    fn may_retry(&mut self, number: usize, end: gateway::AttemptEnd) -> bool {
        let request = &self.requests[number];
        let service = &self.scenario.services[request.service];
        let vm = &mut self.vms[request.vm];
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "run times are seconds"
        )]
        let mean_run_ms = vm.placement.mean_run_ms(&service.name) as u64;
        let room = gateway::RetryContext {
            servers_reached_count: request.arrivals_count,
            connect_failures_count: 0,
            time_left_ms: request.limit_ms.saturating_sub(self.now_ms),
            max_attempts: service.max_attempts,
            may_repeat: service.is_idempotent,
            mean_run_ms,
        };
        let vm_count = self.scenario.zones().len() * self.scenario.entry_vms_per_zone;
        let percent = self.policy.settings.retry_slack_percent;
        let slack_milli = self.scenario.retry.slack_count * MILLI * percent / 100;
        let slack_milli = slack_milli / vm_count.max(1) as u64;
        let is_allowed = match gateway::decide_retry(end, &room) {
            gateway::RetryDecision::GiveUp => false,
            gateway::RetryDecision::RetryOutsideBudget(_) => true,
            gateway::RetryDecision::RetryWithinBudget(_) => {
                vm.ledgers[request.service].try_retry(self.now_ms, slack_milli)
            }
        };
        self.results[request.service].retry_count += u64::from(is_allowed);
        is_allowed
    }

    /// Gives a request its final answer: a failure if it may have run, else a
    /// refusal with the time to come back.
    fn give_up(&mut self, number: usize) {
        let request = &self.requests[number];
        let end = if request.may_have_run {
            End::Failed
        } else {
            End::Refused
        };
        self.finish(number, end);
    }

    fn time_out(&mut self, number: usize, sent_count: u32) {
        let request = &self.requests[number];
        if request.is_over || request.sent_count != sent_count {
            return;
        }
        if let Some(attempt) = request.current {
            let lifetime = self.attempts[attempt].lifetime;
            self.attempts[attempt].is_over = true;
            self.vms[request.vm].placement.note_end(lifetime);
            self.free_slot(attempt);
        } else {
            // The caller waits to come back: it was not sent since.
            return;
        }
        self.requests[number].current = None;
        self.finish(number, End::Failed);
    }

    fn finish(&mut self, number: usize, end: End) {
        let now_ms = self.now_ms;
        let request = &mut self.requests[number];
        let service = &self.scenario.services[request.service];
        let vm = &mut self.vms[request.vm];
        if end == End::Served || !request.has_probed {
            vm.placement
                .note_outcome(now_ms, &service.name, end == End::Served);
        }
        let repeat = self.scenario.troubles.iter().find(|trouble| {
            trouble.kind == replay::TroubleKind::Repeat && trouble.concerns(now_ms, &service.name)
        });
        let again = event::Event::Arrive { request: number };
        if end != End::Served
            && repeat.is_some_and(|trouble| f64::from(request.sent_count) <= trouble.strength)
        {
            self.timeline.add(now_ms + 1, again);
            return;
        }
        let returns = self.scenario.callers_return && request.sent_count <= MAX_RETURNS;
        if end == End::Refused && returns {
            let usual_ms = vm.placement.mean_run_ms(&service.name);
            let wait_ms = gateway::retry_after_ms(usual_ms, self.rng.random());
            self.results[request.service].held_ms += now_ms - request.sent_ms;
            self.timeline.add(now_ms + wait_ms, again);
            return;
        }
        request.is_over = true;
        let slot = usize::try_from(request.came_ms / WINDOW_MS).unwrap_or(usize::MAX);
        let result = &mut self.results[request.service];
        if end == End::Refused {
            result.held_ms += now_ms - request.sent_ms;
        }
        let Some(window) = result.windows.get_mut(slot) else {
            return;
        };
        window.asked_count += 1;
        match end {
            End::Failed => window.failed_count += 1,
            End::Refused => window.refused_count += 1,
            End::Served => {
                let is_late = now_ms - request.came_ms > service.target_latency_ms;
                window.late_count += u64::from(is_late);
            }
        }
    }

    fn note_evidence(&mut self, number: usize, evidence: gateway::Evidence) {
        let attempt = self.attempts[number];
        let teller = self.requests[attempt.request].vm;
        let vm = &mut self.vms[teller];
        let region = vm.region;
        let is_news = vm
            .placement
            .note_evidence(self.now_ms, attempt.lifetime, evidence);
        if !is_news {
            return;
        }
        let others = self.vms.iter().enumerate();
        let others = others.filter(|(other, vm)| *other != teller && vm.region == region);
        for (other, vm) in others {
            let at_ms = self.now_ms + self.network.one_way_ms(region, vm.region);
            let told = event::Event::Evidence {
                evidence,
                lifetime: attempt.lifetime,
                vm: other,
            };
            self.timeline.add(at_ms, told);
        }
    }

    fn send_report(&mut self, teller: usize) {
        let region = self.vms[teller].region;
        if let Some(report) = self.vms[teller].placement.take_report() {
            let report = sync::Arc::new(report);
            let others = self.vms.iter().enumerate();
            let others = others.filter(|(other, vm)| *other != teller && vm.region == region);
            for (other, vm) in others {
                let at_ms = self.now_ms + self.network.one_way_ms(region, vm.region);
                let told = event::Event::Report {
                    from: teller,
                    report: sync::Arc::clone(&report),
                    vm: other,
                };
                self.timeline.add(at_ms, told);
            }
        }
        if self.now_ms < self.scenario.length_s * MILLISECONDS_PER_S {
            let next_ms = self.now_ms + self.policy.settings.load_report_interval_ms;
            let next = event::Event::SendReport { vm: teller };
            self.timeline.add(next_ms, next);
        }
    }

    fn figures(mut self) -> replay::Figures {
        let end_ms = self.scenario.length_s * MILLISECONDS_PER_S;
        for (number, result) in self.results.iter_mut().enumerate() {
            let servers = self.servers.iter();
            let servers = servers.filter(|server| server.service == number);
            let arrivals: Vec<&[u64]> = servers
                .map(|server| server.arrivals_ms.as_slice())
                .collect();
            result.worst_idle_share = idle_share::worst(&arrivals, &result.windows, end_ms);
        }
        replay::Figures {
            policy: self.policy.name.clone(),
            services: self.results,
        }
    }
}

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    Failed,
    Refused,
    Served,
}
