//! Gray-failure detection, ejection and quarantine for all services.

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

/// Time after which an ejection is requested again if the decider could not be
/// reached, in milliseconds.
const EJECTION_RETRY_AFTER_MS: u64 = 500;
/// Interval between two probes of the servers of services for which this VM is
/// the decider, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 1_000;
/// Interval between two updates of the servers' states, in milliseconds.
const SERVER_STATES_INTERVAL_MS: u64 = 200;

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
    next_server_states_ms: u64,
    messages: daemon::HealthMessages,
    quarantine: sync::Arc<daemon::SharedQuarantine>,
    seed: u64,
    services: indexmap::IndexMap<String, daemon::ServiceHealth>,
    settings: sync::Arc<configs::DaemonConfig>,
    slot_server: sync::Arc<daemon::SlotServer>,
}

/// Components of a [`HealthControl`].
pub struct HealthControlParts {
    /// Clock and random seed.
    pub context: context::Context,
    /// Counters of outcomes and ejections.
    pub counters: sync::Arc<telemetry::Counters>,
    /// Sender of events to the control thread, used by background tasks.
    pub events: daemon::ControlSender,
    /// Identity of this process.
    pub identity: claims::VmIdentity,
    /// Clients of the other entry VMs.
    pub peers: peer::PeerClients,
    /// Fingerprints of requests that crash servers.
    pub quarantine: sync::Arc<daemon::SharedQuarantine>,
    /// Settings of the daemon.
    pub settings: sync::Arc<configs::DaemonConfig>,
    /// Dispatchers that run on this VM.
    pub slot_server: sync::Arc<daemon::SlotServer>,
}

/// State of the fleet that health decisions depend on.
#[derive(Clone, Copy)]
pub struct FleetView<'a> {
    /// State folded from the log, which contains the holders of leases.
    pub fold: &'a config_fold::FoldState,
    /// Peer addresses of the other live entry VMs that receive health reports.
    pub peer_addresses: &'a [net::SocketAddr],
}

impl HealthControl {
    /// Creates a control without services.
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
            next_server_states_ms: 0,
            messages,
            quarantine: parts.quarantine,
            seed: parts.context.seed,
            services: indexmap::IndexMap::new(),
            settings: parts.settings,
            slot_server: parts.slot_server,
        }
    }

    /// Applies a configuration. The health state of services that remain is
    /// kept.
    pub fn apply_configuration(&mut self, configuration: &sync::Arc<daemon::Configuration>) {
        let now_ms = self.clock.now_ms();
        let bundle = &configuration.in_force.bundle;
        self.services
            .retain(|name, _| bundle.services.contains_key(name));
        for (name, service) in &bundle.services {
            match self.services.get_mut(name) {
                Some(service_health) => {
                    service_health.change_weight(&self.settings.health, service, self.seed);
                }
                None => self.add_service(now_ms, name, service),
            }
        }
        self.configuration = Some(sync::Arc::clone(configuration));
        self.slot_server
            .retain_services(|service| bundle.services.contains_key(service));
        self.next_server_states_ms = now_ms;
    }

    fn add_service(&mut self, now_ms: u64, name: &str, service: &crate::bundle::Service) {
        let config = &self.settings.health;
        let mut service_health = daemon::ServiceHealth::new(config, service, self.seed);
        // A lease record that was appended before this process started may
        // still be in force, so the decider first waits for the longest lease to
        // expire.
        let margin = health::ClockMargin::new(config.clock_rate_error_ppm);
        let at_ms = now_ms + margin.lengthen(config.lease_duration_ms);
        let event = health::DeciderEvent::PreviousLeaseEnds { at_ms };
        service_health.decider.handle(now_ms, event);
        self.services.insert(name.to_owned(), service_health);
        let lease_name = ejection_lease::lease_name(name);
        let holder_name = &self.holder_name;
        self.leases.entry(lease_name).or_insert_with_key(|lease| {
            daemon::EjectionLease::new(config, holder_name, lease, now_ms)
        });
    }

    /// Applies a lease record that was folded from the log.
    pub fn apply_lease_record(&mut self, record: &health::LeaseRecord) {
        let now_ms = self.clock.now_ms();
        let Some(lease) = self.leases.get_mut(&record.name) else {
            return;
        };
        let events = lease.apply_record(now_ms, record);
        for event in events {
            self.feed_deciders(now_ms, &record.name, &event);
        }
    }

    /// Handles that log records were skipped. They may have included a lease
    /// record, so the deciders first wait for the longest lease to expire.
    pub fn handle_skipped_records(&mut self) {
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

    /// Records the outcome of an attempt. A truncated response is recorded only
    /// after a check whether the server died.
    pub fn record_outcome(&mut self, report: daemon::OutcomeReport, fleet: FleetView<'_>) {
        let now_ms = self.clock.now_ms();
        self.counters.add(outcome_counter(report.outcome.kind));
        if report.outcome.kind == health::OutcomeKind::Answered
            && self.quarantine.is_suspect(report.fingerprint)
        {
            let fingerprint = report.fingerprint;
            let event = health::QuarantineEvent::Answered { fingerprint };
            self.feed_quarantine(now_ms, event, fleet);
        }
        let may_have_crashed = report.outcome.kind == health::OutcomeKind::Truncated;
        if may_have_crashed && self.start_death_check(&report) {
            // `handle_death_check` records the outcome if the server is alive. If
            // it died, the request may have crashed it.
            return;
        }
        self.feed_outcome(now_ms, &report.service, report.outcome, fleet);
    }

    /// Handles the result of the check whether a server died after its
    /// connection broke.
    pub fn handle_death_check(&mut self, check: &daemon::CrashCheck, fleet: FleetView<'_>) {
        let now_ms = self.clock.now_ms();
        if !check.refuses_connections {
            let outcome = health::Outcome {
                kind: health::OutcomeKind::Truncated,
                latency_us: check.ran_ms * 1_000,
                server_id: check.server_id.clone(),
            };
            self.feed_outcome(now_ms, &check.service, outcome, fleet);
            return;
        }
        self.counters.add("server.died");
        let event = health::QuarantineEvent::ServerCrashed {
            fingerprint: check.fingerprint,
            ran_ms: check.ran_ms,
            server_id: check.server_id.clone(),
        };
        self.feed_quarantine(now_ms, event, fleet);
    }

    /// Handles another entry VM's report of a request that crashes servers.
    pub fn handle_quarantine_summary(
        &mut self,
        summary: health::QuarantineSummary,
        fleet: FleetView<'_>,
    ) {
        let now_ms = self.clock.now_ms();
        let event = health::QuarantineEvent::PeerSummary(summary);
        self.feed_quarantine(now_ms, event, fleet);
    }

    /// Handles another entry VM's observations of a service's servers.
    pub fn handle_peer_summary(
        &mut self,
        service: &str,
        from: net::SocketAddr,
        summary: health::Summary,
        fleet: FleetView<'_>,
    ) {
        let now_ms = self.clock.now_ms();
        let Some(service_health) = self.services.get_mut(service) else {
            return;
        };
        let actions = service_health.handle_peer_summary(now_ms, from, summary);
        self.carry_out(service, actions, fleet);
    }

    /// Handles the decider's response to an ejection request. `None` means that
    /// the decider could not be reached.
    pub fn handle_ejection_response(
        &mut self,
        service: &str,
        server_id: &str,
        response: Option<health::EjectionResponse>,
        fleet: FleetView<'_>,
    ) {
        let now_ms = self.clock.now_ms();
        let Some(service_health) = self.services.get_mut(service) else {
            return;
        };
        let actions = service_health.handle_ejection_response(
            now_ms,
            server_id,
            EJECTION_RETRY_AFTER_MS,
            response,
        );
        self.carry_out(service, actions, fleet);
    }

    /// Decides on an ejection request as the service's decider. Returns `None`
    /// for an unknown service.
    pub fn decide(
        &mut self,
        service: &str,
        request: health::EjectionRequest,
    ) -> Option<health::EjectionResponse> {
        let now_ms = self.clock.now_ms();
        let service_health = self.services.get_mut(service)?;
        let event = health::DeciderEvent::Request {
            request,
            from: self.identity.peer_address,
            message_id: 0,
        };
        let actions = service_health.decider.handle(now_ms, event);
        actions.into_iter().find_map(|action| match action {
            health::DeciderAction::Respond { response, .. } => Some(response),
            _ => None,
        })
    }

    /// Handles the probe results of the servers of a service for which this VM
    /// is the decider.
    pub fn handle_probe_results(
        &mut self,
        service: &str,
        requested_ms: u64,
        draining_by_server: &indexmap::IndexMap<String, bool>,
        fleet: FleetView<'_>,
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
        for (server_id, draining) in draining_by_server {
            if *draining {
                runtime.record_draining(server_id);
            }
        }
        let mut servers = runtime.server_states();
        servers.retain(|server| draining_by_server.contains_key(&server.server_id));
        let Some(service_health) = self.services.get_mut(service) else {
            return;
        };
        let event = health::DeciderEvent::ServiceChanged {
            floor_servers: definition.floor_servers,
            servers,
            states_requested_ms: requested_ms,
        };
        let decider_actions = service_health.decider.handle(now_ms, event);
        self.messages
            .send_recalls(service, decider_actions, fleet.peer_addresses);
    }

    /// Ends an ejection before it expires, as requested by the decider.
    pub fn recall(&mut self, service: &str, server_id: &str, fleet: FleetView<'_>) {
        let now_ms = self.clock.now_ms();
        let Some(service_health) = self.services.get_mut(service) else {
            return;
        };
        let actions = service_health.recall(now_ms, server_id);
        self.carry_out(service, actions, fleet);
    }

    /// Handles the passage of time and returns the lease records to append.
    pub fn tick(
        &mut self,
        is_first_ranked: impl Fn(&str) -> bool,
        fleet: FleetView<'_>,
    ) -> Vec<config_fold::RecordBody> {
        let now_ms = self.clock.now_ms();
        self.quarantine
            .handle(now_ms, health::QuarantineEvent::Tick);
        if now_ms >= self.next_server_states_ms {
            self.next_server_states_ms = now_ms + SERVER_STATES_INTERVAL_MS;
            self.forward_server_states(now_ms, fleet);
        }
        let names: Vec<String> = self.services.keys().cloned().collect();
        for name in &names {
            let Some(service_health) = self.services.get_mut(name) else {
                continue;
            };
            let decider_actions = service_health
                .decider
                .handle(now_ms, health::DeciderEvent::Tick);
            let actions = service_health.tick(now_ms);
            self.carry_out(name, actions, fleet);
            self.messages
                .send_recalls(name, decider_actions, fleet.peer_addresses);
        }
        if now_ms >= self.next_probe_ms {
            self.next_probe_ms = now_ms + PROBE_INTERVAL_MS;
            self.probe_servers(fleet);
        }
        self.leases
            .iter_mut()
            .filter_map(|(name, lease)| lease.propose(now_ms, is_first_ranked(name)))
            .collect()
    }

    /// Returns the backend servers that this VM has ejected.
    #[must_use]
    pub fn ejections(&self) -> Vec<daemon::EjectionStatus> {
        let now_ms = self.clock.now_ms();
        let services = self.services.iter();
        services
            .flat_map(|(name, service_health)| {
                service_health
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
        fleet: FleetView<'_>,
    ) {
        let Some(service_health) = self.services.get_mut(service) else {
            return;
        };
        let actions = service_health.record_outcome(now_ms, outcome);
        self.carry_out(service, actions, fleet);
    }

    fn feed_deciders(&mut self, now_ms: u64, lease: &str, event: &health::DeciderEvent) {
        for (service, service_health) in &mut self.services {
            if ejection_lease::lease_name(service) == lease {
                service_health.decider.handle(now_ms, event.clone());
            }
        }
    }

    fn feed_quarantine(
        &mut self,
        now_ms: u64,
        event: health::QuarantineEvent,
        fleet: FleetView<'_>,
    ) {
        for action in self.quarantine.handle(now_ms, event) {
            match action {
                health::QuarantineAction::InvalidateEvidence {
                    fingerprint,
                    server_ids,
                } => {
                    let message = format!(
                        "requests with fingerprint {fingerprint:016x} are quarantined and refused"
                    );
                    telemetry::Event::RequestQuarantined.warn(&message);
                    self.invalidate_evidence(now_ms, &server_ids, fleet);
                }
                health::QuarantineAction::SendSummary { summary } => {
                    self.messages
                        .send_quarantine_summary(&summary, fleet.peer_addresses);
                }
            }
        }
    }

    fn invalidate_evidence(&mut self, now_ms: u64, server_ids: &[String], fleet: FleetView<'_>) {
        let names: Vec<String> = self.services.keys().cloned().collect();
        for (name, server_id) in names
            .iter()
            .flat_map(|name| server_ids.iter().map(move |server_id| (name, server_id)))
        {
            let Some(service_health) = self.services.get_mut(name) else {
                continue;
            };
            let actions = service_health.invalidate_evidence(now_ms, server_id);
            self.carry_out(name, actions, fleet);
        }
    }

    fn forward_server_states(&mut self, now_ms: u64, fleet: FleetView<'_>) {
        let Some(configuration) = self.configuration.clone() else {
            return;
        };
        for (name, runtime) in &configuration.services {
            let definition = configuration.in_force.bundle.services.get(name);
            let (Some(definition), Some(service_health)) =
                (definition, self.services.get_mut(name))
            else {
                continue;
            };
            let servers = runtime.server_states();
            let actions = service_health.change_servers(now_ms, definition.floor_servers, &servers);
            self.carry_out(name, actions, fleet);
            if configuration.dispatchers.get(name) == Some(&self.identity.peer_address) {
                let servers = runtime.dispatcher_servers(&self.settings.region);
                self.slot_server.change_servers(name, servers);
            }
            for server_id in runtime.take_draining_updates() {
                self.messages
                    .send_draining(name, &server_id, fleet.peer_addresses);
            }
        }
    }

    fn carry_out(&self, service: &str, actions: Vec<daemon::HealthAction>, fleet: FleetView<'_>) {
        for action in actions {
            match action {
                daemon::HealthAction::RequestEjection(request) => {
                    self.counters.add("ejection.asked");
                    let decider = decider_address(fleet.fold, service);
                    self.messages.request_ejection(service, request, decider);
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
                    let message = format!("{service}: server {server_id} readmitted");
                    telemetry::Event::ServerReadmitted.info(&message);
                }
                daemon::HealthAction::SendSummary(summary) => {
                    self.messages
                        .send_summary(service, &summary, fleet.peer_addresses);
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
            let message = format!("{service}: server {server_id} ejected");
            telemetry::Event::ServerEjected.warn(&message);
        }
    }

    fn set_weight(&self, service: &str, server_id: &str, weight_permille: u32) {
        if let Some(runtime) = self.runtime(service) {
            runtime.set_weight(server_id, weight_permille);
        }
        self.counters.add("server.weight-changed");
        telemetry::Event::ServerSteeredAway.debug(|| {
            format!("{service}: weight of server {server_id} set to {weight_permille} permille")
        });
    }

    /// Starts a check whether a server died after its connection broke. Returns
    /// `false` if the server is not in the configuration.
    fn start_death_check(&self, report: &daemon::OutcomeReport) -> bool {
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

    /// Starts probes of the servers of the services whose lease this VM holds.
    fn probe_servers(&self, fleet: FleetView<'_>) {
        let Some(configuration) = &self.configuration else {
            return;
        };
        for (name, definition) in &configuration.in_force.bundle.services {
            let lease = fleet.fold.leases.get(&ejection_lease::lease_name(name));
            if lease.is_none_or(|lease| lease.holder != self.holder_name) {
                continue;
            }
            let servers = definition.servers.iter();
            let addresses = servers
                .map(|(server_id, server)| (server_id.clone(), server.address))
                .collect();
            let requested_ms = self.clock.now_ms();
            server_probe::start_probes(&self.events, name.clone(), requested_ms, addresses);
        }
    }
}

/// Returns the peer address of the service's decider, or `None` if no VM holds
/// the lease.
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
