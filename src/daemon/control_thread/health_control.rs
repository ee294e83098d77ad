//! Runs gray-failure detection, ejection and quarantine for all services.

use std::net;
use std::sync;

use crate::claims;
use crate::config_fold;
use crate::configs;
use crate::context;
use crate::daemon;
use crate::daemon::control_thread::ejection_lease;
use crate::daemon::control_thread::server_probe;
use crate::health;
use crate::peer;
use crate::state_machine::StateMachine as _;
use crate::telemetry;

/// When to ask again after a decider that cannot be reached, in milliseconds.
const ASK_RETRY_AFTER_MS: u64 = 500;
/// Time between two probes of the servers that this VM decides on, in
/// milliseconds.
const PROBE_INTERVAL_MS: u64 = 1_000;
/// Time between two looks at the servers' states, in milliseconds.
const STATES_INTERVAL_MS: u64 = 200;

/// Runs gray-failure detection, ejection and quarantine for all services.
pub struct HealthControl {
    clock: sync::Arc<dyn context::Clock>,
    configuration: Option<sync::Arc<daemon::Configuration>>,
    counters: sync::Arc<telemetry::Counters>,
    events: daemon::ControlSender,
    holder_name: String,
    identity: claims::VmIdentity,
    leases: indexmap::IndexMap<String, daemon::EjectionLease>,
    next_probe_ms: u64,
    next_states_ms: u64,
    messages: daemon::HealthMessages,
    quarantine: sync::Arc<daemon::QuarantineView>,
    seed: u64,
    services: indexmap::IndexMap<String, daemon::ServiceHealth>,
    settings: sync::Arc<configs::DaemonConfig>,
    slot_server: sync::Arc<daemon::SlotServer>,
}

/// What a [`HealthControl`] is made of.
pub struct HealthControlParts {
    /// Source of time and seeds.
    pub context: context::Context,
    /// Counts what is decided.
    pub counters: sync::Arc<telemetry::Counters>,
    /// Sends events back to the control thread.
    pub events: daemon::ControlSender,
    /// This process.
    pub identity: claims::VmIdentity,
    /// Connections to other entry VMs.
    pub peers: peer::PeerClients,
    /// Requests that crash servers.
    pub quarantine: sync::Arc<daemon::QuarantineView>,
    /// The daemon's settings.
    pub settings: sync::Arc<configs::DaemonConfig>,
    /// Dispatchers of this VM.
    pub slot_server: sync::Arc<daemon::SlotServer>,
}

/// What the rest of the fleet looks like to one step.
#[derive(Clone, Copy)]
pub struct Surroundings<'a> {
    /// The fold's state, which names the holders of leases.
    pub fold: &'a config_fold::FoldState,
    /// Peer addresses of the other entry VMs that are up.
    pub others: &'a [net::SocketAddr],
}

impl HealthControl {
    /// Gives a control without services.
    #[must_use]
    pub fn new(parts: HealthControlParts) -> Self {
        let messages = daemon::HealthMessages {
            events: sync::Arc::clone(&parts.events),
            own_address: parts.identity.peer_address,
            peers: parts.peers,
        };
        Self {
            clock: sync::Arc::clone(&parts.context.clock),
            configuration: None,
            counters: parts.counters,
            events: parts.events,
            holder_name: ejection_lease::holder_name(parts.identity),
            identity: parts.identity,
            leases: indexmap::IndexMap::new(),
            next_probe_ms: 0,
            next_states_ms: 0,
            messages,
            quarantine: parts.quarantine,
            seed: parts.context.seed,
            services: indexmap::IndexMap::new(),
            settings: parts.settings,
            slot_server: parts.slot_server,
        }
    }

    /// Takes over a configuration; what is known of servers that stay is kept.
    pub fn change_configuration(&mut self, configuration: &sync::Arc<daemon::Configuration>) {
        let now_ms = self.clock.now_ms();
        let bundle = &configuration.in_force.bundle;
        self.services
            .retain(|name, _| bundle.services.contains_key(name));
        for (name, service) in &bundle.services {
            match self.services.get_mut(name) {
                Some(known) => known.change_weight(&self.settings.health, service, self.seed),
                None => self.add_service(now_ms, name, service),
            }
        }
        self.configuration = Some(sync::Arc::clone(configuration));
        self.slot_server
            .keep(|service| bundle.services.contains_key(service));
        self.next_states_ms = now_ms;
    }

    fn add_service(&mut self, now_ms: u64, name: &str, service: &crate::bundle::Service) {
        let config = &self.settings.health;
        let mut known = daemon::ServiceHealth::new(config, service, self.seed);
        // A lease record from before this process may still be in force.
        let margin = health::ClockMargin::new(config.clock_rate_error_ppm);
        let at_ms = now_ms + margin.lengthen(config.lease_duration_ms);
        let event = health::DeciderEvent::PreviousLeaseEnds { at_ms };
        known.decider.handle(now_ms, event);
        self.services.insert(name.to_owned(), known);
        let lease_name = ejection_lease::lease_name(name);
        let holder_name = &self.holder_name;
        self.leases.entry(lease_name).or_insert_with_key(|lease| {
            daemon::EjectionLease::new(config, holder_name, lease, now_ms)
        });
    }

    /// Takes over a lease record that was folded.
    pub fn note_lease(&mut self, record: &health::LeaseRecord) {
        let now_ms = self.clock.now_ms();
        let Some(lease) = self.leases.get_mut(&record.name) else {
            return;
        };
        let events = lease.fold(now_ms, record);
        for event in events {
            self.feed_deciders(now_ms, &record.name, &event);
        }
    }

    /// Notes that records were skipped: a lease record may have been among
    /// them.
    pub fn note_skipped_records(&mut self) {
        let now_ms = self.clock.now_ms();
        let config = &self.settings.health;
        let margin = health::ClockMargin::new(config.clock_rate_error_ppm);
        let at_ms = now_ms + margin.lengthen(config.lease_duration_ms);
        let names: Vec<String> = self.leases.keys().cloned().collect();
        for name in names {
            let event = health::DeciderEvent::PreviousLeaseEnds { at_ms };
            self.feed_deciders(now_ms, &name, &event);
        }
    }

    /// Takes over the outcome of an attempt.
    pub fn note_outcome(&mut self, report: daemon::OutcomeReport, surroundings: Surroundings<'_>) {
        let now_ms = self.clock.now_ms();
        self.counters.add(outcome_counter(report.outcome.kind));
        if report.outcome.kind == health::OutcomeKind::Answered
            && self.quarantine.is_watched(report.fingerprint)
        {
            let fingerprint = report.fingerprint;
            let event = health::QuarantineEvent::Answered { fingerprint };
            self.feed_quarantine(now_ms, event, surroundings);
        }
        let may_be_death = report.outcome.kind == health::OutcomeKind::Truncated;
        if may_be_death && self.check_death(&report) {
            // The outcome waits until it is clear whose fault it was.
            return;
        }
        self.feed_outcome(now_ms, &report.service, report.outcome, surroundings);
    }

    /// Takes over whether a server is dead whose connection broke.
    pub fn note_death_check(&mut self, check: &daemon::CrashCheck, surroundings: Surroundings<'_>) {
        let now_ms = self.clock.now_ms();
        if !check.refuses_connections {
            let outcome = health::Outcome {
                kind: health::OutcomeKind::Truncated,
                latency_us: check.ran_ms * 1_000,
                server_id: check.server_id.clone(),
            };
            self.feed_outcome(now_ms, &check.service, outcome, surroundings);
            return;
        }
        self.counters.add("server.died");
        let event = health::QuarantineEvent::ServerCrashed {
            fingerprint: check.fingerprint,
            ran_ms: check.ran_ms,
            server_id: check.server_id.clone(),
        };
        self.feed_quarantine(now_ms, event, surroundings);
    }

    /// Takes over what another entry VM knows of requests that crash servers.
    pub fn note_quarantine(
        &mut self,
        summary: health::QuarantineSummary,
        surroundings: Surroundings<'_>,
    ) {
        let now_ms = self.clock.now_ms();
        let event = health::QuarantineEvent::PeerSummary(summary);
        self.feed_quarantine(now_ms, event, surroundings);
    }

    /// Takes over what another entry VM saw of a service.
    pub fn note_summary(
        &mut self,
        service: &str,
        from: net::SocketAddr,
        summary: health::Summary,
        surroundings: Surroundings<'_>,
    ) {
        let now_ms = self.clock.now_ms();
        let Some(known) = self.services.get_mut(service) else {
            return;
        };
        let actions = known.note_summary(now_ms, from, summary);
        self.carry_out(service, actions, surroundings);
    }

    /// Takes over the decider's answer.
    pub fn note_answer(
        &mut self,
        service: &str,
        server_id: &str,
        answer: Option<health::EjectionResponse>,
        surroundings: Surroundings<'_>,
    ) {
        let now_ms = self.clock.now_ms();
        let Some(known) = self.services.get_mut(service) else {
            return;
        };
        let actions = known.note_answer(now_ms, server_id, ASK_RETRY_AFTER_MS, answer);
        self.carry_out(service, actions, surroundings);
    }

    /// Answers an ask as the service's decider; nothing for an unknown service.
    pub fn decide(
        &mut self,
        service: &str,
        ask: health::EjectionRequest,
    ) -> Option<health::EjectionResponse> {
        let now_ms = self.clock.now_ms();
        let known = self.services.get_mut(service)?;
        let event = health::DeciderEvent::Request {
            request: ask,
            from: self.identity.peer_address,
            message_id: 0,
        };
        let actions = known.decider.handle(now_ms, event);
        actions.into_iter().find_map(|action| match action {
            health::DeciderAction::Respond { response, .. } => Some(response),
            _ => None,
        })
    }

    /// Takes over the states of the servers that this VM decides on.
    pub fn note_probes(
        &mut self,
        service: &str,
        asked_ms: u64,
        answered: &indexmap::IndexMap<String, bool>,
        surroundings: Surroundings<'_>,
    ) {
        let now_ms = self.clock.now_ms();
        let Some(configuration) = &self.configuration else {
            return;
        };
        let definition = configuration.in_force.bundle.services.get(service);
        let runtime = configuration.services.get(service);
        let (Some(definition), Some(runtime)) = (definition, runtime) else {
            return;
        };
        for (server_id, draining) in answered {
            if *draining {
                runtime.record_draining(server_id);
            }
        }
        let mut servers = runtime.server_states();
        servers.retain(|server| answered.contains_key(&server.server_id));
        let Some(known) = self.services.get_mut(service) else {
            return;
        };
        let event = health::DeciderEvent::ServiceChanged {
            floor_servers: definition.floor_servers,
            servers,
            states_requested_ms: asked_ms,
        };
        let decided = known.decider.handle(now_ms, event);
        self.messages
            .spread_recalls(service, decided, surroundings.others);
    }

    /// Takes over that a decider wants an ejection given up early.
    pub fn recall(&mut self, service: &str, server_id: &str, surroundings: Surroundings<'_>) {
        let now_ms = self.clock.now_ms();
        let Some(known) = self.services.get_mut(service) else {
            return;
        };
        let actions = known.recall(now_ms, server_id);
        self.carry_out(service, actions, surroundings);
    }

    /// Acts on the time that has passed; gives the lease records to append.
    pub fn tick(
        &mut self,
        is_first_for: impl Fn(&str) -> bool,
        surroundings: Surroundings<'_>,
    ) -> Vec<config_fold::RecordBody> {
        let now_ms = self.clock.now_ms();
        self.quarantine
            .handle(now_ms, health::QuarantineEvent::Tick);
        if now_ms >= self.next_states_ms {
            self.next_states_ms = now_ms + STATES_INTERVAL_MS;
            self.pass_on_states(now_ms, surroundings);
        }
        let names: Vec<String> = self.services.keys().cloned().collect();
        for name in &names {
            let Some(known) = self.services.get_mut(name) else {
                continue;
            };
            let decided = known.decider.handle(now_ms, health::DeciderEvent::Tick);
            let actions = known.tick(now_ms);
            self.carry_out(name, actions, surroundings);
            self.messages
                .spread_recalls(name, decided, surroundings.others);
        }
        if now_ms >= self.next_probe_ms {
            self.next_probe_ms = now_ms + PROBE_INTERVAL_MS;
            self.probe_servers(surroundings);
        }
        self.leases
            .iter_mut()
            .filter_map(|(name, lease)| lease.propose(now_ms, is_first_for(name)))
            .collect()
    }

    /// Gives the servers that are out of service as this VM sees it.
    #[must_use]
    pub fn ejections(&self) -> Vec<daemon::EjectionStatus> {
        let now_ms = self.clock.now_ms();
        let services = self.services.iter();
        services
            .flat_map(|(name, known)| {
                known
                    .ejected()
                    .map(move |(server_id, since_ms)| daemon::EjectionStatus {
                        server: server_id.to_owned(),
                        service: name.clone(),
                        since_ms: now_ms.saturating_sub(since_ms),
                    })
            })
            .collect()
    }

    fn feed_outcome(
        &mut self,
        now_ms: u64,
        service: &str,
        outcome: health::Outcome,
        surroundings: Surroundings<'_>,
    ) {
        let Some(known) = self.services.get_mut(service) else {
            return;
        };
        let actions = known.note_outcome(now_ms, outcome);
        self.carry_out(service, actions, surroundings);
    }

    fn feed_deciders(&mut self, now_ms: u64, lease: &str, event: &health::DeciderEvent) {
        for (service, known) in &mut self.services {
            if ejection_lease::lease_name(service) == lease {
                known.decider.handle(now_ms, event.clone());
            }
        }
    }

    fn feed_quarantine(
        &mut self,
        now_ms: u64,
        event: health::QuarantineEvent,
        surroundings: Surroundings<'_>,
    ) {
        for action in self.quarantine.handle(now_ms, event) {
            match action {
                health::QuarantineAction::InvalidateEvidence {
                    fingerprint,
                    server_ids,
                } => {
                    let message = format!("requests like {fingerprint:016x} are refused");
                    telemetry::Event::RequestQuarantined.warn(&message);
                    self.absolve(now_ms, &server_ids, surroundings);
                }
                health::QuarantineAction::SendSummary { summary } => {
                    self.messages
                        .spread_quarantine(&summary, surroundings.others);
                }
            }
        }
    }

    fn absolve(&mut self, now_ms: u64, server_ids: &[String], surroundings: Surroundings<'_>) {
        let names: Vec<String> = self.services.keys().cloned().collect();
        for (name, server_id) in names
            .iter()
            .flat_map(|name| server_ids.iter().map(move |server_id| (name, server_id)))
        {
            let Some(known) = self.services.get_mut(name) else {
                continue;
            };
            let actions = known.absolve(now_ms, server_id);
            self.carry_out(name, actions, surroundings);
        }
    }

    fn pass_on_states(&mut self, now_ms: u64, surroundings: Surroundings<'_>) {
        let Some(configuration) = self.configuration.clone() else {
            return;
        };
        for (name, runtime) in &configuration.services {
            let definition = configuration.in_force.bundle.services.get(name);
            let (Some(definition), Some(known)) = (definition, self.services.get_mut(name)) else {
                continue;
            };
            let servers = runtime.server_states();
            let actions = known.change_servers(now_ms, definition.floor_servers, &servers);
            self.carry_out(name, actions, surroundings);
            if configuration.dispatchers.get(name) == Some(&self.identity.peer_address) {
                let servers = runtime.dispatcher_servers(&self.settings.region);
                self.slot_server.change_servers(name, servers);
            }
            for server_id in runtime.take_draining_updates() {
                self.messages
                    .spread_draining(name, &server_id, surroundings.others);
            }
        }
    }

    fn carry_out(
        &self,
        service: &str,
        actions: Vec<daemon::HealthAction>,
        surroundings: Surroundings<'_>,
    ) {
        for action in actions {
            match action {
                daemon::HealthAction::Ask(ask) => {
                    self.counters.add("ejection.asked");
                    let decider = decider_address(surroundings.fold, service);
                    self.messages.ask(service, ask, decider);
                }
                daemon::HealthAction::Eject {
                    is_new,
                    server_id,
                    until_ms,
                } => self.eject(service, &server_id, until_ms, is_new),
                daemon::HealthAction::Readmitted { server_id } => {
                    if let Some(runtime) = self.runtime(service) {
                        runtime.set_ejected_until(&server_id, 0);
                    }
                    self.counters.add("server.readmitted");
                    let message = format!("{service}: {server_id} is tried again");
                    telemetry::Event::ServerReadmitted.info(&message);
                }
                daemon::HealthAction::SendSummary(summary) => {
                    self.messages
                        .spread_summary(service, &summary, surroundings.others);
                }
                daemon::HealthAction::SetWeight {
                    server_id,
                    weight_permille,
                } => self.set_weight(service, &server_id, weight_permille),
            }
        }
    }

    fn runtime(&self, service: &str) -> Option<&daemon::ServiceRuntime> {
        let configuration = self.configuration.as_ref()?;
        configuration
            .services
            .get(service)
            .map(|runtime| &**runtime)
    }

    fn eject(&self, service: &str, server_id: &str, until_ms: u64, is_new: bool) {
        if let Some(runtime) = self.runtime(service) {
            runtime.set_ejected_until(server_id, until_ms);
        }
        if is_new {
            self.counters.add("server.ejected");
            let message = format!("{service}: {server_id} is out of service");
            telemetry::Event::ServerEjected.warn(&message);
        }
    }

    fn set_weight(&self, service: &str, server_id: &str, weight_permille: u32) {
        if let Some(runtime) = self.runtime(service) {
            runtime.set_weight(server_id, weight_permille);
        }
        self.counters.add("server.weight-changed");
        telemetry::Event::ServerSteeredAway
            .debug(|| format!("{service}: {server_id} gets {weight_permille} permille"));
    }

    /// Finds out whether a server whose connection broke is dead. Gives
    /// `false` when the server is not known.
    fn check_death(&self, report: &daemon::OutcomeReport) -> bool {
        let Some(configuration) = &self.configuration else {
            return false;
        };
        let services = &configuration.in_force.bundle.services;
        let server = services
            .get(&report.service)
            .and_then(|service| service.servers.get(&report.outcome.server_id));
        let Some(server) = server else {
            return false;
        };
        let address = server.address;
        let events = sync::Arc::clone(&self.events);
        let fingerprint = report.fingerprint;
        let ran_ms = report.outcome.latency_us / 1_000;
        let server_id = report.outcome.server_id.clone();
        let service = report.service.clone();
        tokio::spawn(async move {
            let check = daemon::CrashCheck {
                refuses_connections: server_probe::refuses_connections(address).await,
                fingerprint,
                ran_ms,
                server_id,
                service,
            };
            let event = daemon::ControlEvent::ServerDeathChecked(check);
            let _ = events.send(event).await;
        });
        true
    }

    /// Probes the servers of the services whose lease this VM holds.
    fn probe_servers(&self, surroundings: Surroundings<'_>) {
        let Some(configuration) = &self.configuration else {
            return;
        };
        for (name, definition) in &configuration.in_force.bundle.services {
            let lease = surroundings
                .fold
                .leases
                .get(&ejection_lease::lease_name(name));
            if lease.is_none_or(|lease| lease.holder != self.holder_name) {
                continue;
            }
            let servers = definition.servers.iter();
            let addresses = servers
                .map(|(server_id, server)| (server_id.clone(), server.address))
                .collect();
            let asked_ms = self.clock.now_ms();
            server_probe::start_probes(&self.events, name.clone(), asked_ms, addresses);
        }
    }
}

/// Gives the peer address of the VM that decides on the service's ejections;
/// nothing while nobody holds its lease.
fn decider_address(fold: &config_fold::FoldState, service: &str) -> Option<net::SocketAddr> {
    let lease = fold.leases.get(&ejection_lease::lease_name(service))?;
    ejection_lease::holder_address(&lease.holder)
}

const fn outcome_counter(kind: health::OutcomeKind) -> &'static str {
    match kind {
        health::OutcomeKind::Answered => "outcome.answered",
        health::OutcomeKind::ConnectFailed => "outcome.connect-failed",
        health::OutcomeKind::Failed => "outcome.failed",
        health::OutcomeKind::Mismatched => "outcome.mismatched",
        health::OutcomeKind::TimedOut => "outcome.timed-out",
        health::OutcomeKind::Truncated => "outcome.truncated",
    }
}
