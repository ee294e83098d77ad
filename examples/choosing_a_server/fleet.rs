//! Simulated fleet.

use foxtailwinch::admission;
use foxtailwinch::balancing;
use foxtailwinch::state_machine::StateMachine as _;
use rand::SeedableRng as _;

use super::backend;
use super::entry_vm;
use super::event;
use super::event_queue;
use super::request;
use super::scenario;
use super::tally;
use super::wakeup;

/// Availability zones in the order in which servers are placed; each region has
/// two zones.
const ZONES: [usize; 4] = [0, 2, 1, 3];
/// Time for which the simulation continues after the last arrival, in
/// microseconds.
const DRAIN_US: u64 = 5_000_000;

/// Simulated fleet of callers, entry VMs, dispatchers and backend servers.
pub struct Fleet {
    pub(super) backends: Vec<backend::Backend>,
    pub(super) client_wakeups: Vec<wakeup::Wakeup>,
    pub(super) dispatcher_wakeups: Vec<wakeup::Wakeup>,
    pub(super) dispatchers: Vec<balancing::Dispatcher>,
    pub(super) events: event_queue::EventQueue<event::Event>,
    pub(super) gate_wakeups: Vec<wakeup::Wakeup>,
    pub(super) now_us: u64,
    pub(super) random: rand::rngs::SmallRng,
    pub(super) reported_load_permille: Vec<u32>,
    pub(super) requests: Vec<request::Request>,
    pub(super) scenario: scenario::Scenario,
    pub(super) server_ids: Vec<String>,
    pub(super) tally: tally::Tally,
    pub(super) vms: Vec<entry_vm::EntryVm>,
}

impl Fleet {
    /// Runs a scenario and returns its results.
    pub fn run(scenario: &scenario::Scenario) -> tally::Tally {
        let mut fleet = Self::new(scenario);
        fleet.start();
        while let Some((at_us, event)) = fleet.events.pop() {
            if at_us > scenario.end_us() + DRAIN_US {
                break;
            }
            fleet.now_us = at_us;
            fleet.handle(event);
        }
        fleet.tally
    }

    fn new(scenario: &scenario::Scenario) -> Self {
        let servers = 0..scenario.server_count;
        Self {
            backends: servers
                .clone()
                .map(|index| backend::Backend::new(ZONES[index % ZONES.len()]))
                .collect(),
            client_wakeups: vec![wakeup::Wakeup::default(); scenario.vm_count],
            dispatcher_wakeups: vec![wakeup::Wakeup::default(); ZONES.len()],
            dispatchers: Vec::new(),
            events: event_queue::EventQueue::new(),
            gate_wakeups: vec![wakeup::Wakeup::default(); scenario.vm_count],
            now_us: 0,
            random: rand::rngs::SmallRng::seed_from_u64(scenario.seed),
            reported_load_permille: vec![0; scenario.server_count],
            requests: Vec::new(),
            scenario: scenario.clone(),
            server_ids: servers.map(|index| index.to_string()).collect(),
            tally: tally::Tally::new(),
            vms: (0..scenario.vm_count)
                .map(|index| entry_vm::EntryVm::new(scenario, index))
                .collect(),
        }
    }

    fn start(&mut self) {
        self.restart_dispatchers();
        self.push_in(0, event::Event::NextCaller);
        self.push_in(0, event::Event::ReportLoad);
        for vm in 0..self.vms.len() {
            self.push_in(vm as u64 * 7_000, event::Event::Poll { vm });
        }
        if let Some((from_s, to_s)) = self.scenario.zone_outage_s {
            self.push_in(from_s * 1_000_000, event::Event::Zone { is_up: false });
            self.push_in(to_s * 1_000_000, event::Event::Zone { is_up: true });
        }
        if let Some((_, to_s)) = self.scenario.dispatcher_outage_s {
            self.push_in(to_s * 1_000_000, event::Event::DispatchersRestart);
        }
    }

    fn handle(&mut self, event: event::Event) {
        match event {
            event::Event::Response {
                load_permille,
                outcome,
                request,
                send,
                server,
            } => self.handle_response(request, send, server, outcome, load_permille),
            event::Event::AtDispatcher { event, region } => {
                self.handle_dispatcher_event(region, event);
            }
            event::Event::AtServer { request, send } => self.reach_server(request, send),
            event::Event::Arrive { request } => self.arrive(request),
            event::Event::CallerDeadline { request } => self.expire_caller(request),
            event::Event::CancelAtServer { request, server } => {
                self.backends[server].running.swap_remove(&request);
            }
            event::Event::Client { event, vm } => self.handle_client_event(vm, event),
            event::Event::DispatchersRestart => self.restart_dispatchers(),
            event::Event::DispatcherTick { region } => {
                self.handle_dispatcher_event(region, balancing::DispatcherEvent::Tick);
            }
            event::Event::GateTick { vm } => self.handle_gate_event(vm, admission::GateEvent::Tick),
            event::Event::NextCaller => self.start_next_caller(),
            event::Event::Poll { vm } => self.poll(vm),
            event::Event::EndRun {
                request,
                send,
                server,
            } => self.end_run(request, send, server),
            event::Event::ReportLoad => self.report_load(),
            event::Event::ServerListUpdate => self.update_known_servers(),
            event::Event::Zone { is_up } => self.set_zone_state(is_up),
        }
    }

    /// Passes an event to a VM's gate and executes the resulting actions.
    pub(super) fn handle_gate_event(&mut self, vm: usize, event: admission::GateEvent) {
        let now_ms = self.now_ms();
        let gate = &mut self.vms[vm].gate;
        let actions = gate.handle(now_ms, event);
        if let Some(wakeup_ms) = gate.next_wakeup_ms()
            && self.gate_wakeups[vm].schedule(now_ms, wakeup_ms)
        {
            self.push_at_ms(wakeup_ms, event::Event::GateTick { vm });
        }
        for action in actions {
            match action {
                admission::GateAction::Admit { request_id } => {
                    self.choose_server(to_index(request_id));
                }
                admission::GateAction::Refuse {
                    refusal,
                    request_id,
                } => self.refuse(to_index(request_id), refusal.retry_after_ms),
            }
        }
    }

    /// Returns the current time of the state machines, in milliseconds.
    pub(super) const fn now_ms(&self) -> u64 {
        self.now_us / 1_000
    }

    /// Adds an event after a delay.
    pub(super) fn push_in(&mut self, delay_us: u64, event: event::Event) {
        self.events.push(self.now_us + delay_us, event);
    }

    /// Adds an event at a time of the state machines, but not before the current time.
    pub(super) fn push_at_ms(&mut self, at_ms: u64, event: event::Event) {
        let due_us = (at_ms * 1_000).max(self.now_us);
        self.events.push(due_us, event);
    }
}

/// Returns the one-way delay of a message, in microseconds.
pub(super) const fn delay_us(from_zone: usize, to_zone: usize) -> u64 {
    if from_zone == to_zone {
        100
    } else if from_zone / 2 == to_zone / 2 {
        500
    } else {
        30_000
    }
}

/// Converts the id of a request in the state machines to its index.
pub(super) fn to_index(request_id: u64) -> usize {
    usize::try_from(request_id).expect("ids are indexes")
}
