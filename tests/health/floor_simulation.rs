//! Simulation of several entry VMs, a log and servers with injected faults.

use std::net;

use foxtailwinch::configs;
use foxtailwinch::health;
use foxtailwinch::state_machine::StateMachine as _;
use rand::Rng as _;
use rand::SeedableRng as _;

use super::log;
use super::vm;

pub const LEASE: &str = "ejections/bei";
const STEP_MS: u64 = 5;
const VM_COUNT: usize = 5;
const SERVER_COUNT: usize = 8;
const RATE_ERROR_PPM: u64 = 20_000;
/// Number of servers suspected at a time.
const SUSPECT_COUNT: usize = 4;
/// Time for which the same servers are suspected.
const SUSPICION_MS: u64 = 5_000;
/// Longest delay of a message, including pauses of processes on its way.
const MESSAGE_DELAY_MAX_MS: u64 = 3_000;

/// Mechanism that is disabled.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mutant {
    /// No mechanism is disabled.
    None,
    /// Each VM acts as if it held the lease.
    NoLease,
    /// A new holder of the lease does not wait for the end of the previous
    /// lease.
    NoWaitForPreviousLease,
    /// Each VM keeps the floor for its own ejections only.
    PerVmFloor,
    /// Outdated states of the servers count as fresh, because they are dated on
    /// receipt.
    StatesDatedOnReceipt,
    /// A grant is valid from the receipt of the response.
    ValidFromReceipt,
}

/// Counts of a run, to show that ejections took place.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Statistics {
    pub ejected_steps: u64,
    pub steps_at_floor: u64,
    pub grants: u64,
    pub leases: u64,
    pub restarts: u64,
    pub steps: u64,
}

/// Simulated backend server. `lost_ms` is the time at which it last stopped counting
/// as capacity.
struct Server {
    is_cold: bool,
    is_draining: bool,
    is_up: bool,
    lost_ms: Option<u64>,
}

impl Server {
    /// Returns whether the server counts as capacity.
    fn is_capacity(&self) -> bool {
        self.is_up && !self.is_cold && !self.is_draining
    }
}

pub struct FloorSimulation {
    config: configs::health::HealthConfig,
    partitions: Vec<(usize, usize, u64)>,
    floors: Vec<(u64, u32)>,
    log: log::Log,
    mutant: Mutant,
    now_ms: u64,
    random: rand::rngs::SmallRng,
    restart_count: usize,
    servers: Vec<Server>,
    statistics: Statistics,
    vms: Vec<vm::Vm>,
    in_transit: Vec<(u64, usize, vm::Message)>,
}

fn config() -> configs::health::HealthConfig {
    configs::health::HealthConfig {
        clock_rate_error_ppm: RATE_ERROR_PPM,
        grant_max_ms: 1_000,
        lease_duration_ms: 2_000,
        state_max_age_ms: 600,
        ..configs::health::HealthConfig::default()
    }
}

fn server_id(index: usize) -> String {
    format!("s{index}")
}

impl FloorSimulation {
    pub fn new(mutant: Mutant, seed: u64) -> Self {
        let mut simulation = Self {
            config: config(),
            partitions: Vec::new(),
            floors: Vec::new(),
            log: log::Log::default(),
            mutant,
            now_ms: 0,
            random: rand::rngs::SmallRng::seed_from_u64(seed),
            restart_count: 0,
            servers: Vec::new(),
            statistics: Statistics::default(),
            vms: Vec::new(),
            in_transit: Vec::new(),
        };
        for _ in 0..SERVER_COUNT {
            simulation.servers.push(Server {
                is_cold: false,
                is_draining: false,
                is_up: true,
                lost_ms: None,
            });
        }
        for _ in 0..VM_COUNT {
            let vm = simulation.start_vm();
            simulation.vms.push(vm);
        }
        simulation.change_floor(5);
        simulation
    }

    /// Runs until `end_ms`, or returns the first violation of the floor.
    pub fn run(&mut self, end_ms: u64) -> Result<Statistics, String> {
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            self.statistics.steps += 1;
            self.inject_faults();
            self.log.advance(self.now_ms);
            self.deliver();
            for index in 0..VM_COUNT {
                if self.vms[index].paused_until_ms <= self.now_ms {
                    self.step_vm(index);
                }
            }
            self.check_floor()?;
        }
        Ok(self.statistics)
    }

    /// Returns `true` at the given average rate.
    fn random_event(&mut self, per_second: f64) -> bool {
        let step_s = f64::from(u32::try_from(STEP_MS).unwrap()) / 1_000.0;
        self.random.random_bool((per_second * step_s).min(1.0))
    }

    fn start_vm(&mut self) -> vm::Vm {
        let is_fast = self.random.random_bool(0.5);
        let error_ppm = if is_fast { RATE_ERROR_PPM } else { 0 };
        let rate_ppm = 1_000_000 - RATE_ERROR_PPM + 2 * error_ppm;
        self.restart_count += 1;
        let name = format!("vm{}", self.restart_count);
        let mut config = self.config.clone();
        if self.mutant == Mutant::NoWaitForPreviousLease {
            config.lease_duration_ms = 0;
        }
        let offset = self.log.next_offset();
        let mut vm = vm::Vm::new(&config, &name, self.now_ms, rate_ppm, offset);
        if self.mutant == Mutant::NoWaitForPreviousLease {
            vm.tracker = health::LeaseTracker::new(&self.config, &name, LEASE);
        }
        vm.floor_servers = self.floors.last().map_or(u32::MAX, |(_, floor)| *floor);
        vm
    }

    fn change_floor(&mut self, floor_servers: u32) {
        self.floors.push((self.now_ms, floor_servers));
        self.log
            .append(self.now_ms, log::Record::Floor(floor_servers));
    }

    /// Injects random pauses, restarts, partitions, log outages and changes of
    /// the floor and the servers.
    fn inject_faults(&mut self) {
        let vm = self.random.random_range(0..VM_COUNT);
        let other = self.random.random_range(0..VM_COUNT);
        let server = self.random.random_range(0..SERVER_COUNT);
        let span_ms = self.random.random_range(0..4_000);
        if self.random_event(0.4) {
            self.vms[vm].paused_until_ms = self.now_ms + span_ms;
        }
        if self.random_event(0.1) {
            self.statistics.restarts += 1;
            self.vms[vm] = self.start_vm();
        }
        if self.random_event(0.2) {
            self.partitions.push((vm, other, self.now_ms + span_ms * 2));
        }
        if self.random_event(0.5) {
            self.vms[vm].log_unreachable_until_ms = self.now_ms + span_ms;
        }
        if self.random_event(0.05) {
            self.log.down_until_ms = self.now_ms + span_ms * 2;
        }
        if self.random_event(0.1) {
            let floor_servers = self.random.random_range(2..=6);
            self.change_floor(floor_servers);
        }
        if self.random_event(0.6) {
            self.change_server(server);
        }
    }

    fn change_server(&mut self, index: usize) {
        let kind = self.random.random_range(0..10);
        let now_ms = self.now_ms;
        let server = &mut self.servers[index];
        let was_capacity = server.is_capacity();
        match kind {
            0 => server.is_cold = true,
            1 => server.is_draining = true,
            2 => server.is_up = false,
            _ => (server.is_cold, server.is_draining, server.is_up) = (false, false, true),
        }
        if was_capacity && !server.is_capacity() {
            server.lost_ms = Some(now_ms);
        }
    }

    fn states(&self) -> Vec<health::ServerState> {
        let up = self
            .servers
            .iter()
            .enumerate()
            .filter(|(_, server)| server.is_up);
        up.map(|(index, server)| health::ServerState {
            cold: server.is_cold,
            draining: server.is_draining,
            server_id: server_id(index),
        })
        .collect()
    }

    /// Sends a message, which may be late, duplicated or lost.
    fn send(&mut self, from: usize, to: usize, message: &vm::Message) {
        let copies = if self.random.random_bool(0.05) { 2 } else { 1 };
        for _ in 0..copies {
            let is_late = self.random.random_bool(0.2);
            let limit_ms = if is_late { MESSAGE_DELAY_MAX_MS } else { 40 };
            let delay_ms = self.random.random_range(0..limit_ms);
            let is_partitioned = self.partitions.iter().any(|partition| {
                (partition.0, partition.1) == (from, to) && partition.2 > self.now_ms
            });
            if !is_partitioned && !self.random.random_bool(0.1) {
                self.in_transit
                    .push((self.now_ms + delay_ms, to, message.clone()));
            }
        }
    }

    fn deliver(&mut self) {
        let now_ms = self.now_ms;
        let due: Vec<_> = self
            .in_transit
            .extract_if(.., |(at_ms, ..)| *at_ms <= now_ms)
            .collect();
        for (_, to, message) in due {
            self.vms[to].inbox.push_back(message);
        }
    }

    fn step_vm(&mut self, index: usize) {
        self.read_log(index);
        while let Some(message) = self.vms[index].inbox.pop_front() {
            self.receive(index, message);
        }
        self.refresh_states(index);
        if self.random_event(0.06) {
            self.propose(index);
        }
        if self.random_event(8.0) {
            self.request_ejection(index);
        }
        self.notify_decider(index, health::DeciderEvent::Tick);
        self.notify_holder(index, health::HolderEvent::Tick);
        if self.mutant == Mutant::NoLease {
            let until_ms = self.vms[index].clock_ms(self.now_ms) + 2_000;
            let held = health::DeciderEvent::LeaseHeld {
                term: self.now_ms,
                until_ms,
            };
            self.notify_decider(index, held);
        }
    }

    fn read_log(&mut self, index: usize) {
        if self.vms[index].log_unreachable_until_ms > self.now_ms {
            return;
        }
        while self.random.random_bool(0.4) {
            let offset = self.vms[index].offset;
            let Some(record) = self.log.read(self.now_ms, offset).cloned() else {
                return;
            };
            self.vms[index].offset += 1;
            match record {
                log::Record::Floor(floor_servers) => {
                    self.vms[index].floor_servers = floor_servers;
                    self.notify_service_changed(index);
                }
                log::Record::Lease(record) => self.apply_lease(index, &record),
            }
        }
    }

    fn apply_lease(&mut self, index: usize, record: &health::LeaseRecord) {
        let holder = self
            .vms
            .iter()
            .position(|vm| vm.tracker.holder() == record.holder);
        self.vms[index].known_decider = holder.unwrap_or(0);
        let now_ms = self.vms[index].clock_ms(self.now_ms);
        let events = self.vms[index].tracker.apply(now_ms, record);
        for event in events {
            let event = match (self.mutant, event) {
                (
                    Mutant::NoWaitForPreviousLease,
                    health::DeciderEvent::PreviousLeaseEnds { .. },
                )
                | (Mutant::NoLease, _) => continue,
                (_, event) => event,
            };
            self.statistics.leases +=
                u64::from(matches!(event, health::DeciderEvent::LeaseHeld { .. }));
            self.notify_decider(index, event);
        }
    }

    fn propose(&mut self, index: usize) {
        let now_ms = self.vms[index].clock_ms(self.now_ms);
        let record = self.vms[index].tracker.propose(now_ms);
        if self.now_ms < self.log.down_until_ms && self.random.random_bool(0.5) {
            return;
        }
        let is_late = self.random.random_bool(0.3);
        let delay_ms = self
            .random
            .random_range(0..if is_late { 2_500 } else { 30 });
        self.log
            .append(self.now_ms + delay_ms, log::Record::Lease(record));
    }

    fn refresh_states(&mut self, index: usize) {
        if self.random_event(4.0) {
            let requested_ms = self.vms[index].clock_ms(self.now_ms);
            let servers = self.states();
            self.send(
                index,
                index,
                &vm::Message::States {
                    requested_ms,
                    servers,
                },
            );
        }
    }

    fn notify_service_changed(&mut self, index: usize) {
        let vm = &self.vms[index];
        let event = health::DeciderEvent::ServiceChanged {
            floor_servers: vm.floor_servers,
            servers: vm.servers.clone(),
            states_requested_ms: vm.states_requested_ms,
        };
        self.notify_decider(index, event);
    }

    /// Returns one of the few servers that all VMs suspect for a while.
    fn random_suspect(&mut self) -> String {
        let first = usize::try_from(self.now_ms / SUSPICION_MS).unwrap() * 3;
        let offset = self.random.random_range(0..SUSPECT_COUNT);
        server_id((first + offset) % SERVER_COUNT)
    }

    fn request_ejection(&mut self, index: usize) {
        let server_id = self.random_suspect();
        let now_ms = self.vms[index].clock_ms(self.now_ms);
        let evidence = health::Evidence::default();
        let request = self.vms[index].holder.request(now_ms, evidence, &server_id);
        let to = if self.random.random_bool(0.7) {
            self.vms[index].known_decider
        } else {
            self.random.random_range(0..VM_COUNT)
        };
        if self.mutant == Mutant::PerVmFloor {
            return self.grant_to_self(index, request);
        }
        self.send(
            index,
            to,
            &vm::Message::EjectionRequest {
                request,
                from: index,
            },
        );
    }

    /// Grants the request without a decider, for [`Mutant::PerVmFloor`].
    fn grant_to_self(&mut self, index: usize, request: health::EjectionRequest) {
        let now_ms = self.vms[index].clock_ms(self.now_ms);
        let response = health::EjectionResponse::Granted {
            requested_ms: request.requested_ms,
            server_id: request.server_id,
            valid_ms: self.config.grant_max_ms,
        };
        self.notify_holder(index, health::HolderEvent::Response(response));
        let event = health::HolderEvent::ServiceChanged {
            floor_servers: self.vms[index].floor_servers,
            servers: self.states(),
        };
        self.notify_holder(index, event);
        assert!(now_ms >= request.requested_ms);
    }

    fn receive(&mut self, index: usize, message: vm::Message) {
        match message {
            vm::Message::EjectionResponse(response) => self.apply_response(index, response),
            vm::Message::EjectionRequest { request, from } => {
                let event = health::DeciderEvent::Request {
                    request,
                    from: net::SocketAddr::from(([127, 0, 0, 1], 1)),
                    message_id: u64::try_from(from).unwrap(),
                };
                self.notify_decider(index, event);
            }
            vm::Message::Recall(server_id) => {
                self.notify_holder(index, health::HolderEvent::Recall { server_id });
            }
            vm::Message::States {
                requested_ms,
                servers,
            } => {
                self.apply_states(index, requested_ms, servers);
            }
        }
    }

    fn apply_response(&mut self, index: usize, mut response: health::EjectionResponse) {
        let now_ms = self.vms[index].clock_ms(self.now_ms);
        if let health::EjectionResponse::Granted {
            requested_ms,
            server_id,
            ..
        } = &mut response
        {
            self.statistics.grants += 1;
            if self.mutant == Mutant::ValidFromReceipt {
                let evidence = health::Evidence::default();
                self.vms[index].holder.request(now_ms, evidence, server_id);
                *requested_ms = now_ms;
            }
        }
        self.notify_holder(index, health::HolderEvent::Response(response));
    }

    fn apply_states(&mut self, index: usize, requested_ms: u64, servers: Vec<health::ServerState>) {
        let clock_ms = self.vms[index].clock_ms(self.now_ms);
        let vm = &mut self.vms[index];
        let is_mutant = self.mutant == Mutant::StatesDatedOnReceipt;
        if !is_mutant && (requested_ms < vm.states_requested_ms || requested_ms > clock_ms) {
            return;
        }
        vm.states_requested_ms = if is_mutant { clock_ms } else { requested_ms };
        vm.servers = servers;
        self.notify_service_changed(index);
    }

    fn notify_decider(&mut self, index: usize, event: health::DeciderEvent) {
        let now_ms = self.vms[index].clock_ms(self.now_ms);
        for action in self.vms[index].decider.handle(now_ms, event) {
            match action {
                health::DeciderAction::Respond {
                    response,
                    message_id,
                    ..
                } => {
                    let to = usize::try_from(message_id).unwrap();
                    self.send(index, to, &vm::Message::EjectionResponse(response));
                }
                health::DeciderAction::Recall { server_id } => {
                    for to in 0..VM_COUNT {
                        self.send(index, to, &vm::Message::Recall(server_id.clone()));
                    }
                }
                health::DeciderAction::RenewLease { .. } => self.propose(index),
            }
        }
    }

    fn notify_holder(&mut self, index: usize, event: health::HolderEvent) {
        let now_ms = self.vms[index].clock_ms(self.now_ms);
        self.vms[index].holder.handle(now_ms, event);
    }

    /// Checks the floor. Servers that were lost recently still count as
    /// capacity, and the lowest floor of a recent period applies.
    /// docs/design/ejection-floor.md derives both periods.
    fn check_floor(&mut self) -> Result<(), String> {
        let slack = |span_ms: u64| span_ms * 104 / 100 + STEP_MS;
        let state_window_ms = slack(self.config.grant_max_ms + self.config.state_max_age_ms);
        let floor_window_ms = slack(self.config.lease_duration_ms);
        let mut ejected = indexmap::IndexSet::new();
        for vm in &self.vms {
            ejected.extend(
                vm.holder
                    .ejected(vm.clock_ms(self.now_ms))
                    .map(str::to_owned),
            );
        }
        if ejected.is_empty() {
            return Ok(());
        }
        let in_service = self.servers.iter().enumerate().filter(|(index, server)| {
            let lost_ms = server
                .lost_ms
                .filter(|lost| lost + state_window_ms >= self.now_ms);
            let is_counted = server.is_capacity() || lost_ms.is_some();
            is_counted && !ejected.contains(&server_id(*index))
        });
        let in_service = in_service.count();
        let floor = self.lowest_floor(floor_window_ms);
        self.statistics.ejected_steps += 1;
        self.statistics.steps_at_floor += u64::from(in_service == floor);
        if in_service >= floor {
            return Ok(());
        }
        Err(format!(
            "at {} ms {in_service} servers in service, floor {floor}, ejected {ejected:?}",
            self.now_ms
        ))
    }

    /// Returns the lowest floor in force within the last `window_ms`.
    fn lowest_floor(&self, window_ms: u64) -> usize {
        let start_ms = self.now_ms.saturating_sub(window_ms);
        let in_force = self.floors.iter().enumerate().filter(|(index, _)| {
            let next = self.floors.get(index + 1);
            next.is_none_or(|(until_ms, _)| *until_ms >= start_ms)
        });
        let lowest = in_force.map(|(_, (_, floor))| *floor).min().unwrap();
        usize::try_from(lowest).unwrap()
    }
}
