//! Event loop of the control thread: owns the control state and publishes
//! snapshots for the traffic threads.

use std::net;
use std::sync;
use std::time;

use tokio::sync::mpsc;

use crate::balancing;
use crate::claims;
use crate::config_fold;
use crate::configs;
use crate::context;
use crate::daemon;
use crate::daemon::control_thread::configuration_control;
use crate::daemon::control_thread::membership_control;
use crate::daemon::control_thread::rehearsals;
use crate::daemon::peers::neighbours;
use crate::health;
use crate::log_client;
use crate::membership;
use crate::peer;
use crate::routing;
use crate::telemetry;

/// Interval between two checks of the timers, in milliseconds.
const TICK_MS: u64 = 10;
/// Interval between two reads of the VM list by a VM that tails the log, in
/// milliseconds. The other VMs receive new VMs through membership.
const VM_LIST_INTERVAL_MS: u64 = 2_000;
/// Interval between two reads of the VM list by a VM that does not tail the
/// log, in milliseconds. The list has an entry for every VM of the fleet, so
/// frequent reads by all VMs would cost more than all other control traffic.
const VM_LIST_LONG_INTERVAL_MS: u64 = 120_000;
/// Interval between two queries of the neighbours, in milliseconds.
const NEIGHBOUR_INTERVAL_MS: u64 = 5_000;
/// Interval between two updates of the rehearsed servers, in milliseconds.
const REHEARSAL_INTERVAL_MS: u64 = 200;
/// Maximum number of entry VMs to which this VM sends its health reports
/// directly.
const MAX_NOTIFIED_VM_COUNT: usize = 64;

/// Sender of events to the control thread.
pub type ControlSender = sync::Arc<mpsc::Sender<daemon::ControlEvent>>;

/// State of the control thread.
pub struct Control {
    configuration: daemon::ConfigurationControl,
    context: context::Context,
    events: ControlSender,
    health: daemon::HealthControl,
    identity: claims::VmIdentity,
    leaving: bool,
    log: sync::Arc<dyn log_client::LogClient>,
    membership: daemon::MembershipControl,
    neighbours: Vec<peer::KeyPrefixReply>,
    peer_addresses: Vec<net::SocketAddr>,
    peers: peer::PeerClients,
    settings: sync::Arc<configs::DaemonConfig>,
    slot_client: sync::Arc<daemon::SlotClient>,
    slot_server: sync::Arc<daemon::SlotServer>,
    timers: Timers,
    traffic: sync::Arc<daemon::TrafficHandler>,
    vms: Vec<log_client::VmEntry>,
    witness: sync::Arc<daemon::ClaimWitness>,
}

/// Components of a [`Control`].
pub struct ControlParts {
    /// Clock and random seed.
    pub context: context::Context,
    /// Sender of events to the control thread, used by background tasks.
    pub events: ControlSender,
    /// Identity of this process.
    pub identity: claims::VmIdentity,
    /// Client of the log service.
    pub log: sync::Arc<dyn log_client::LogClient>,
    /// Clients of the other entry VMs.
    pub peers: peer::PeerClients,
    /// Fingerprints of requests that crash servers.
    pub quarantine: sync::Arc<daemon::SharedQuarantine>,
    /// Settings of the daemon.
    pub settings: sync::Arc<configs::DaemonConfig>,
    /// Client that requests slots from dispatchers.
    pub slot_client: sync::Arc<daemon::SlotClient>,
    /// Dispatchers that run on this VM.
    pub slot_server: sync::Arc<daemon::SlotServer>,
    /// State of the traffic threads, to which snapshots are published.
    pub traffic: sync::Arc<daemon::TrafficHandler>,
    /// Keys for which this VM is the witness.
    pub witness: sync::Arc<daemon::ClaimWitness>,
}

/// Due times of the periodic steps, in milliseconds of the process's clock.
#[expect(clippy::struct_field_names, reason = "field names end with their unit")]
#[derive(Clone, Copy, Debug, Default)]
struct Timers {
    neighbours_ms: u64,
    rehearsals_ms: u64,
    vm_list_ms: u64,
}

impl Control {
    /// Binds the peer port for membership, starts reading from it and creates a
    /// control thread without configuration.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if the peer port cannot be bound.
    pub async fn open(parts: ControlParts) -> std::io::Result<Self> {
        let counters = sync::Arc::clone(&parts.traffic.counters);
        let membership = daemon::MembershipControl::open(
            &parts.settings,
            &parts.context,
            parts.identity,
            sync::Arc::clone(&counters),
        )
        .await?;
        membership.start_reading(sync::Arc::clone(&parts.events));
        let configuration = daemon::ConfigurationControl::new(
            &parts.settings,
            &parts.context,
            sync::Arc::clone(&parts.log),
            parts.peers.clone(),
            sync::Arc::clone(&parts.events),
        );
        let health = daemon::HealthControl::new(daemon::HealthControlParts {
            context: parts.context.clone(),
            counters,
            events: sync::Arc::clone(&parts.events),
            identity: parts.identity,
            peers: parts.peers.clone(),
            quarantine: parts.quarantine,
            settings: sync::Arc::clone(&parts.settings),
            slot_server: sync::Arc::clone(&parts.slot_server),
        });
        Ok(Self {
            configuration,
            context: parts.context,
            events: parts.events,
            health,
            identity: parts.identity,
            leaving: false,
            log: parts.log,
            membership,
            neighbours: Vec::new(),
            peer_addresses: Vec::new(),
            peers: parts.peers,
            settings: parts.settings,
            slot_client: parts.slot_client,
            slot_server: parts.slot_server,
            timers: Timers::default(),
            traffic: parts.traffic,
            vms: Vec::new(),
            witness: parts.witness,
        })
    }

    /// Handles events until the event channel closes.
    pub async fn run(
        mut self,
        mut events: mpsc::Receiver<daemon::ControlEvent>,
        mut outcomes: mpsc::Receiver<daemon::OutcomeReport>,
    ) {
        let mut ticks = tokio::time::interval(time::Duration::from_millis(TICK_MS));
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
        loop {
            tokio::select! {
                event = events.recv() => match event {
                    Some(event) => self.handle(event),
                    None => return,
                },
                Some(report) = outcomes.recv() => self.record_outcome(report),
                _ = ticks.tick() => self.tick(),
            }
        }
    }

    fn handle(&mut self, event: daemon::ControlEvent) {
        match event {
            daemon::ControlEvent::CheckpointAppendFinished => {
                self.configuration.finish_checkpoint_append();
            }
            daemon::ControlEvent::Leave => self.leave(),
            daemon::ControlEvent::LogRead(_)
            | daemon::ControlEvent::MembershipMessage { .. }
            | daemon::ControlEvent::NeighboursQueried(_)
            | daemon::ControlEvent::Replication(_)
            | daemon::ControlEvent::VmListRead(_) => self.handle_fleet_event(event),
            daemon::ControlEvent::KeyPrefixRequested(reply) => {
                let _ = reply.send(self.key_prefix_reply());
            }
            daemon::ControlEvent::RecordsRequested { reply, request } => {
                let _ = reply.send(self.configuration.answer_pull(request));
            }
            daemon::ControlEvent::StatusRequested(reply) => {
                let _ = reply.send(self.status());
            }
            daemon::ControlEvent::EjectionResponseReceived { .. }
            | daemon::ControlEvent::EjectionRequested { .. }
            | daemon::ControlEvent::EjectionRecalled { .. }
            | daemon::ControlEvent::PeerReportedDraining { .. }
            | daemon::ControlEvent::PeerQuarantineSummary(_)
            | daemon::ControlEvent::PeerHealthSummary { .. }
            | daemon::ControlEvent::ServerDeathChecked(_)
            | daemon::ControlEvent::ServersProbed { .. } => self.handle_health_event(event),
        }
    }

    /// Handles events of the configuration log, the VM list, membership and the
    /// neighbours.
    fn handle_fleet_event(&mut self, event: daemon::ControlEvent) {
        let now_ms = self.context.clock.now_ms();
        match event {
            daemon::ControlEvent::LogRead(read) => {
                let updates = self.configuration.handle_log_read(now_ms, read);
                self.apply_configuration_updates(updates);
            }
            daemon::ControlEvent::MembershipMessage { from, message } => {
                let event = membership::MembershipEvent::Message { from, message };
                let updates = self.membership.handle(now_ms, event);
                self.apply_membership_updates(updates);
            }
            daemon::ControlEvent::NeighboursQueried(replies) => {
                self.handle_neighbour_replies(replies);
            }
            daemon::ControlEvent::Replication(event) => {
                let updates = self.configuration.handle(now_ms, event);
                self.apply_configuration_updates(updates);
            }
            daemon::ControlEvent::VmListRead(read) => self.handle_vm_list(now_ms, read),
            _ => {}
        }
    }

    /// Handles events about the health of backend servers.
    fn handle_health_event(&mut self, event: daemon::ControlEvent) {
        let fleet = daemon::FleetView {
            fold: self.configuration.fold().state(),
            peer_addresses: &self.peer_addresses,
        };
        match event {
            daemon::ControlEvent::EjectionResponseReceived {
                response,
                server_id,
                service,
            } => self
                .health
                .handle_ejection_response(&service, &server_id, response, fleet),
            daemon::ControlEvent::EjectionRequested {
                request,
                reply,
                service,
            } => {
                let _ = reply.send(self.health.decide(&service, request));
            }
            daemon::ControlEvent::PeerReportedDraining { server_id, service } => {
                self.record_draining(&service, &server_id);
            }
            daemon::ControlEvent::PeerQuarantineSummary(summary) => {
                self.health.handle_quarantine_summary(summary, fleet);
            }
            daemon::ControlEvent::PeerHealthSummary {
                from,
                service,
                summary,
            } => self
                .health
                .handle_peer_summary(&service, from, summary, fleet),
            daemon::ControlEvent::ServerDeathChecked(check) => {
                self.health.handle_death_check(&check, fleet);
            }
            daemon::ControlEvent::ServersProbed {
                draining_by_server,
                requested_ms,
                service,
            } => {
                self.health.handle_probe_results(
                    &service,
                    requested_ms,
                    &draining_by_server,
                    fleet,
                );
            }
            daemon::ControlEvent::EjectionRecalled { server_id, service } => {
                self.health.recall(&service, &server_id, fleet);
            }
            _ => {}
        }
    }

    fn record_outcome(&mut self, report: daemon::OutcomeReport) {
        let fleet = daemon::FleetView {
            fold: self.configuration.fold().state(),
            peer_addresses: &self.peer_addresses,
        };
        self.health.record_outcome(report, fleet);
    }

    fn record_draining(&self, service: &str, server_id: &str) {
        let snapshot = self.traffic.snapshot.load();
        let configuration = snapshot.configuration.as_ref();
        if let Some(runtime) =
            configuration.and_then(|configuration| configuration.services.get(service))
        {
            runtime.record_draining(server_id);
        }
    }

    fn tick(&mut self) {
        let now_ms = self.context.clock.now_ms();
        self.traffic.home.tick();
        self.witness.tick();
        self.slot_client.tick();
        self.slot_server.tick();
        if let Some(configuration) = &self.traffic.snapshot.load().configuration {
            for service in configuration.services.values() {
                service.tick();
            }
        }
        let updates = self.membership.tick(now_ms);
        self.apply_membership_updates(updates);
        let unix_ms = self.context.clock.unix_ms();
        let updates = self.configuration.tick(now_ms, unix_ms);
        self.apply_configuration_updates(updates);
        self.tick_health();
        self.tick_periodic(now_ms, unix_ms);
    }

    fn tick_health(&mut self) {
        let fleet = daemon::FleetView {
            fold: self.configuration.fold().state(),
            peer_addresses: &self.peer_addresses,
        };
        let snapshot = self.traffic.snapshot.load();
        let own_id = self.settings.vm_id.as_str();
        let mut ids: Vec<&str> = snapshot
            .entry_vms
            .values()
            .map(|vm| vm.vm_id.as_str())
            .collect();
        ids.push(own_id);
        let is_leaving = self.leaving;
        let is_first_ranked = |lease: &str| {
            !is_leaving && balancing::rendezvous::top(lease, &ids, 1).first() == Some(&own_id)
        };
        let bodies = self.health.tick(is_first_ranked, fleet);
        for body in bodies {
            let record_id = format!("lease-{own_id}-{:016x}", rand::random::<u64>());
            let record = config_fold::Record::new(record_id, body);
            self.configuration.append(record);
        }
    }

    fn tick_periodic(&mut self, now_ms: u64, unix_ms: u64) {
        if now_ms >= self.timers.vm_list_ms {
            // `handle_vm_list` sets the timer again when the read has returned or
            // timed out.
            self.timers.vm_list_ms = u64::MAX;
            self.start_vm_list_read();
        }
        if now_ms >= self.timers.neighbours_ms || self.traffic.home.take_witness_failure() {
            self.timers.neighbours_ms = now_ms + NEIGHBOUR_INTERVAL_MS;
            self.query_neighbours();
        }
        if now_ms >= self.timers.rehearsals_ms {
            self.timers.rehearsals_ms = now_ms + REHEARSAL_INTERVAL_MS;
            if let Some(configuration) = &self.traffic.snapshot.load().configuration {
                let state = self.configuration.fold().state();
                rehearsals::apply(state, configuration, unix_ms);
            }
        }
    }

    fn start_vm_list_read(&self) {
        let events = sync::Arc::clone(&self.events);
        let log = sync::Arc::clone(&self.log);
        tokio::spawn(async move {
            let read = log.vms().await;
            let _ = events.send(daemon::ControlEvent::VmListRead(read)).await;
        });
    }

    fn apply_configuration_updates(&mut self, updates: Vec<daemon::ConfigurationUpdate>) {
        if updates.is_empty() {
            return;
        }
        let mut is_changed = false;
        for update in updates {
            is_changed |= self.apply_configuration_update(&update);
        }
        if is_changed && self.configuration.is_ready() {
            self.publish_configuration();
        }
        let next_offset = self.configuration.fold().next_offset();
        let event = membership::MembershipEvent::ConfigurationOffset { next_offset };
        let now_ms = self.context.clock.now_ms();
        let updates = self.membership.handle(now_ms, event);
        self.apply_membership_updates(updates);
    }

    /// Returns whether the configuration in force may have changed.
    fn apply_configuration_update(&mut self, update: &daemon::ConfigurationUpdate) -> bool {
        let event = match update {
            daemon::ConfigurationUpdate::Folded(event) => event,
            daemon::ConfigurationUpdate::Ready => {
                telemetry::Event::Ready.info("configuration in force; ready to serve requests");
                return true;
            }
        };
        configuration_control::log_fold_event(event);
        match event {
            config_fold::FoldEvent::BundleInForce { .. } => true,
            config_fold::FoldEvent::CheckpointAdopted { .. } => {
                self.health.handle_skipped_records();
                true
            }
            config_fold::FoldEvent::LeaseTaken {
                duration_ms,
                holder,
                name,
                term,
            } => {
                self.health.apply_lease_record(&health::LeaseRecord {
                    duration_ms: *duration_ms,
                    holder: holder.clone(),
                    name: name.clone(),
                    term: *term,
                });
                false
            }
            _ => false,
        }
    }

    fn apply_membership_updates(&mut self, updates: Vec<daemon::MembershipUpdate>) {
        let now_ms = self.context.clock.now_ms();
        let is_changed = updates.contains(&daemon::MembershipUpdate::Changed);
        for update in updates {
            if let daemon::MembershipUpdate::OffsetSeen { next_offset, peer } = update {
                let updates = self
                    .configuration
                    .record_peer_offset(now_ms, peer, next_offset);
                self.apply_configuration_updates(updates);
            }
        }
        if is_changed {
            self.update_members(now_ms);
        }
    }

    fn update_members(&mut self, now_ms: u64) {
        let peers: Vec<membership::Member> = self.membership.live_peers().cloned().collect();
        self.peer_addresses = peers
            .iter()
            .map(|peer| peer.address)
            .take(MAX_NOTIFIED_VM_COUNT)
            .collect();
        let updates = self.configuration.set_members(now_ms, peers.iter());
        let entry_vms = peers
            .iter()
            .map(|peer| (peer.address, entry_vm(peer)))
            .collect();
        self.publish(|snapshot| snapshot.entry_vms = entry_vms);
        self.apply_configuration_updates(updates);
        if self.configuration.is_ready() {
            self.publish_configuration();
        }
        self.query_neighbours();
    }

    fn publish_configuration(&mut self) {
        let Some(in_force) = self.configuration.fold().in_force() else {
            return;
        };
        let old = self.traffic.snapshot.load_full();
        let placement = self.placement(&old);
        let services = in_force.bundle.services.iter().map(|(name, definition)| {
            let existing = old
                .configuration
                .as_ref()
                .and_then(|configuration| configuration.services.get(name));
            let definition = sync::Arc::new(definition.clone());
            let service = existing.cloned().unwrap_or_else(|| {
                sync::Arc::new(daemon::ServiceRuntime::new(
                    name,
                    sync::Arc::clone(&definition),
                    &self.settings,
                    &self.context,
                ))
            });
            service.update(definition, placement);
            (name.clone(), service)
        });
        let unchanged = old
            .configuration
            .as_ref()
            .filter(|configuration| configuration.in_force.offset == in_force.offset);
        // The route table is large and does not depend on membership, so it is
        // rebuilt only for a new configuration.
        let routes = unchanged.map_or_else(
            || sync::Arc::new(routing::RouteTable::build(&in_force.bundle)),
            |configuration| sync::Arc::clone(&configuration.routes),
        );
        let configuration = sync::Arc::new(daemon::Configuration {
            dispatchers: self.dispatchers(&old, &in_force.bundle),
            in_force: in_force.clone(),
            routes,
            services: services.collect(),
        });
        self.health.apply_configuration(&configuration);
        self.publish(|snapshot| snapshot.configuration = Some(configuration));
    }

    /// Returns the peer address of each service's dispatcher: the first VM of
    /// the region by rendezvous rank. VMs with different membership views may
    /// choose different dispatchers, which only increases the load.
    fn dispatchers(
        &self,
        snapshot: &daemon::Snapshot,
        bundle: &crate::bundle::Bundle,
    ) -> indexmap::IndexMap<String, net::SocketAddr> {
        let peers = snapshot.entry_vms.values();
        let mut vms: indexmap::IndexMap<&str, net::SocketAddr> = peers
            .filter(|vm| vm.region == self.settings.region)
            .map(|vm| (vm.vm_id.as_str(), vm.peer_address))
            .collect();
        if !self.leaving {
            vms.insert(&self.settings.vm_id, self.identity.peer_address);
        }
        let ids: Vec<&str> = vms.keys().copied().collect();
        let services = bundle.services.keys();
        services
            .filter_map(|name| {
                let first = balancing::rendezvous::top(name, &ids, 1);
                let address = vms.get(first.first()?)?;
                Some((name.clone(), *address))
            })
            .collect()
    }

    fn placement(&self, snapshot: &daemon::Snapshot) -> daemon::Placement<'_> {
        let in_region = snapshot
            .entry_vms
            .values()
            .filter(|vm| vm.region == self.settings.region)
            .count();
        daemon::Placement {
            availability_zone: &self.settings.availability_zone,
            entry_vm_count: u32::try_from(in_region + 1).unwrap_or(u32::MAX),
            region: &self.settings.region,
        }
    }

    fn handle_vm_list(
        &mut self,
        now_ms: u64,
        read: Result<Vec<log_client::VmEntry>, log_client::LogError>,
    ) {
        let is_alone = self.peer_addresses.is_empty();
        let interval_ms = if is_alone || self.configuration.tails_log() {
            VM_LIST_INTERVAL_MS
        } else {
            VM_LIST_LONG_INTERVAL_MS
        };
        self.timers.vm_list_ms = now_ms + interval_ms;
        let Ok(vms) = read else {
            return;
        };
        if vms != self.vms {
            let message = format!("the VM list now has {} VMs", vms.len());
            telemetry::Event::VmListChanged.info(&message);
        }
        let listed = membership_control::listed_vms(&vms);
        self.vms = vms;
        let event = membership::MembershipEvent::VmList(listed);
        let updates = self.membership.handle(now_ms, event);
        self.apply_membership_updates(updates);
    }

    fn query_neighbours(&self) {
        let snapshot = self.traffic.snapshot.load();
        let entry_vms: Vec<&daemon::EntryVm> = snapshot.entry_vms.values().collect();
        let settings = &self.settings;
        let zone = &settings.availability_zone;
        let chosen = neighbours::choose(&settings.vm_id, zone, &settings.region, &entry_vms);
        neighbours::start_query(&self.events, &self.peers, chosen);
    }

    fn handle_neighbour_replies(&mut self, replies: Vec<peer::KeyPrefixReply>) {
        self.neighbours = replies;
        let lifetime_ms = self.settings.entry_point_lifetime_ms;
        let mut entry_points = neighbours::entry_points(&self.neighbours, lifetime_ms);
        let own = self.key_prefix_reply();
        let own_key_prefix = own.key_prefix.clone();
        if own.takes_callers {
            let own_entry_point = neighbours::entry_points(&[own], lifetime_ms);
            entry_points.splice(0..0, own_entry_point);
        }
        // Entry points without a key prefix have no witness yet and refuse
        // orders, so they are listed only if no entry point has a key prefix.
        if entry_points.iter().any(|point| point.key_prefix.is_some()) {
            entry_points.retain(|point| point.key_prefix.is_some());
        }
        self.publish(|snapshot| {
            snapshot.entry_points = entry_points;
            snapshot.own_key_prefix = own_key_prefix;
        });
    }

    fn key_prefix_reply(&self) -> peer::KeyPrefixReply {
        let witness =
            neighbours::choose_witness(&self.settings.availability_zone, &self.neighbours);
        let key_prefix = witness
            .filter(|_| !self.leaving)
            .map(|witness| self.traffic.home.prefix_for(witness.identity).encode());
        peer::KeyPrefixReply {
            availability_zone: self.settings.availability_zone.clone(),
            caller_address: self.settings.caller_address,
            identity: self.identity,
            key_prefix,
            takes_callers: !self.leaving && self.configuration.is_ready(),
        }
    }

    fn leave(&mut self) {
        if self.leaving {
            return;
        }
        self.leaving = true;
        telemetry::Event::LeaveBegun.info("leaving: removed from the entry points");
        let now_ms = self.context.clock.now_ms();
        let updates = self
            .membership
            .handle(now_ms, membership::MembershipEvent::Leave);
        self.apply_membership_updates(updates);
        self.handle_neighbour_replies(self.neighbours.clone());
    }

    fn publish(&self, change: impl FnOnce(&mut daemon::Snapshot)) {
        let mut snapshot = daemon::Snapshot::clone(&self.traffic.snapshot.load());
        change(&mut snapshot);
        self.traffic.snapshot.store(sync::Arc::new(snapshot));
    }

    fn status(&self) -> daemon::VmStatus {
        let in_force = self.configuration.fold().in_force();
        let in_force = in_force.filter(|_| self.configuration.is_ready());
        daemon::VmStatus {
            availability_zone: self.settings.availability_zone.clone(),
            configuration_offset: in_force.map(|in_force| in_force.offset),
            configuration_version: in_force.map(|in_force| in_force.version.clone()),
            ejections: self.health.ejections(),
            in_flight_requests: self.traffic.in_flight_requests(),
            incarnation: self.identity.incarnation,
            leaving: self.leaving,
            region: self.settings.region.clone(),
            vm_id: self.settings.vm_id.clone(),
            ..daemon::VmStatus::default()
        }
    }
}

fn entry_vm(member: &membership::Member) -> daemon::EntryVm {
    daemon::EntryVm {
        availability_zone: member.availability_zone.clone(),
        caller_address: member.caller_address,
        peer_address: member.address,
        region: member.region.clone(),
        vm_id: member.vm_id.clone(),
    }
}
