//! The control thread: owns the control state and publishes snapshots.

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

/// Time between two looks at timers, in milliseconds.
const TICK_MS: u64 = 10;
/// Time between two reads of the VM list by a VM that tails the log, in
/// milliseconds. The others learn of new VMs through membership.
const VM_LIST_INTERVAL_MS: u64 = 2_000;
/// Time between two reads of the VM list by the other VMs, in milliseconds.
/// The list is as long as the fleet, so every VM reading it often would cost
/// more than everything else.
const VM_LIST_LONG_INTERVAL_MS: u64 = 120_000;
/// Time between two rounds of asking neighbours, in milliseconds.
const NEIGHBOUR_INTERVAL_MS: u64 = 5_000;
/// Time between two looks at rehearsals, in milliseconds.
const REHEARSAL_INTERVAL_MS: u64 = 200;
/// Most entry VMs that are told directly what this one saw.
const TOLD_VM_COUNT: usize = 64;

/// Sends events to the control thread.
pub type ControlSender = sync::Arc<mpsc::Sender<daemon::ControlEvent>>;

/// The control thread's state.
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
    others: Vec<net::SocketAddr>,
    peers: peer::PeerClients,
    settings: sync::Arc<configs::DaemonConfig>,
    slot_client: sync::Arc<daemon::SlotClient>,
    slot_server: sync::Arc<daemon::SlotServer>,
    timers: Timers,
    traffic: sync::Arc<daemon::TrafficHandler>,
    vms: Vec<log_client::VmEntry>,
    witness: sync::Arc<daemon::ClaimWitness>,
}

/// What a [`Control`] is made of.
pub struct ControlParts {
    /// Source of time and seeds.
    pub context: context::Context,
    /// Sends events back to the control thread.
    pub events: ControlSender,
    /// This process.
    pub identity: claims::VmIdentity,
    /// Client of the log service.
    pub log: sync::Arc<dyn log_client::LogClient>,
    /// Connections to other entry VMs.
    pub peers: peer::PeerClients,
    /// Requests that crash servers.
    pub quarantine: sync::Arc<daemon::QuarantineView>,
    /// The daemon's settings.
    pub settings: sync::Arc<configs::DaemonConfig>,
    /// Asks dispatchers for slots.
    pub slot_client: sync::Arc<daemon::SlotClient>,
    /// Dispatchers of this VM.
    pub slot_server: sync::Arc<daemon::SlotServer>,
    /// Takes the snapshots.
    pub traffic: sync::Arc<daemon::TrafficHandler>,
    /// Keys whose witness is this VM.
    pub witness: sync::Arc<daemon::ClaimWitness>,
}

/// When the next periodic steps are due, on the process's clock.
#[expect(
    clippy::struct_field_names,
    reason = "fields carry their unit as suffix"
)]
#[derive(Clone, Copy, Debug, Default)]
struct Timers {
    neighbours_ms: u64,
    rehearsals_ms: u64,
    vm_list_ms: u64,
}

impl Control {
    /// Gives a control thread that knows nothing yet.
    ///
    /// # Errors
    ///
    /// Gives the operating system's error when the peer port cannot be opened.
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
            others: Vec::new(),
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

    /// Handles events until the channel closes.
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
                Some(report) = outcomes.recv() => self.note_outcome(report),
                _ = ticks.tick() => self.tick(),
            }
        }
    }

    fn handle(&mut self, event: daemon::ControlEvent) {
        match event {
            daemon::ControlEvent::CheckpointAppended => self.configuration.checkpoint_appended(),
            daemon::ControlEvent::Leave => self.leave(),
            daemon::ControlEvent::LogRead(_)
            | daemon::ControlEvent::MembershipMessage { .. }
            | daemon::ControlEvent::NeighboursAsked(_)
            | daemon::ControlEvent::Spread(_)
            | daemon::ControlEvent::VmListRead(_) => self.handle_fleet(event),
            daemon::ControlEvent::PrefixAsked(reply) => {
                let _ = reply.send(self.key_prefix());
            }
            daemon::ControlEvent::RecordsAsked { reply, request } => {
                let _ = reply.send(self.configuration.answer_pull(request));
            }
            daemon::ControlEvent::StatusAsked(reply) => {
                let _ = reply.send(self.status());
            }
            daemon::ControlEvent::EjectionAnswered { .. }
            | daemon::ControlEvent::EjectionAsked { .. }
            | daemon::ControlEvent::EjectionRecalled { .. }
            | daemon::ControlEvent::PeerSawDraining { .. }
            | daemon::ControlEvent::PeerSawQuarantine(_)
            | daemon::ControlEvent::PeerSummary { .. }
            | daemon::ControlEvent::ServerDeathChecked(_)
            | daemon::ControlEvent::ServersProbed { .. } => self.handle_health(event),
        }
    }

    /// Handles what concerns the fleet: the log, the VM list and the members.
    fn handle_fleet(&mut self, event: daemon::ControlEvent) {
        let now_ms = self.context.clock.now_ms();
        match event {
            daemon::ControlEvent::LogRead(read) => {
                let news = self.configuration.log_read(now_ms, read);
                self.take_configuration_news(news);
            }
            daemon::ControlEvent::MembershipMessage { from, message } => {
                let event = membership::MembershipEvent::Message { from, message };
                let news = self.membership.handle(now_ms, event);
                self.take_membership_news(news);
            }
            daemon::ControlEvent::NeighboursAsked(replies) => self.neighbours_asked(replies),
            daemon::ControlEvent::Spread(event) => {
                let news = self.configuration.handle(now_ms, event);
                self.take_configuration_news(news);
            }
            daemon::ControlEvent::VmListRead(read) => self.vm_list_read(now_ms, read),
            _ => {}
        }
    }

    /// Handles what concerns the backend servers' health.
    fn handle_health(&mut self, event: daemon::ControlEvent) {
        let surroundings = daemon::Surroundings {
            fold: self.configuration.fold().state(),
            others: &self.others,
        };
        match event {
            daemon::ControlEvent::EjectionAnswered {
                answer,
                server_id,
                service,
            } => self
                .health
                .note_answer(&service, &server_id, answer, surroundings),
            daemon::ControlEvent::EjectionAsked {
                ask,
                reply,
                service,
            } => {
                let _ = reply.send(self.health.decide(&service, ask));
            }
            daemon::ControlEvent::PeerSawDraining { server_id, service } => {
                self.note_draining(&service, &server_id);
            }
            daemon::ControlEvent::PeerSawQuarantine(summary) => {
                self.health.note_quarantine(summary, surroundings);
            }
            daemon::ControlEvent::PeerSummary {
                from,
                service,
                summary,
            } => self
                .health
                .note_summary(&service, from, summary, surroundings),
            daemon::ControlEvent::ServerDeathChecked(check) => {
                self.health.note_death_check(&check, surroundings);
            }
            daemon::ControlEvent::ServersProbed {
                answered,
                asked_ms,
                service,
            } => self
                .health
                .note_probes(&service, asked_ms, &answered, surroundings),
            daemon::ControlEvent::EjectionRecalled { server_id, service } => {
                self.health.recall(&service, &server_id, surroundings);
            }
            _ => {}
        }
    }

    fn note_outcome(&mut self, report: daemon::OutcomeReport) {
        let surroundings = daemon::Surroundings {
            fold: self.configuration.fold().state(),
            others: &self.others,
        };
        self.health.note_outcome(report, surroundings);
    }

    fn note_draining(&self, service: &str, server_id: &str) {
        let snapshot = self.traffic.snapshot.load();
        let configuration = snapshot.configuration.as_ref();
        if let Some(runtime) = configuration.and_then(|known| known.services.get(service)) {
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
        let news = self.membership.tick(now_ms);
        self.take_membership_news(news);
        let unix_ms = self.context.clock.unix_ms();
        let news = self.configuration.tick(now_ms, unix_ms);
        self.take_configuration_news(news);
        self.tick_health();
        self.tick_periodic(now_ms, unix_ms);
    }

    fn tick_health(&mut self) {
        let surroundings = daemon::Surroundings {
            fold: self.configuration.fold().state(),
            others: &self.others,
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
        let is_first = |lease: &str| {
            !is_leaving && balancing::rendezvous::top(lease, &ids, 1).first() == Some(&own_id)
        };
        let bodies = self.health.tick(is_first, surroundings);
        for body in bodies {
            let record_id = format!("lease-{own_id}-{:016x}", rand::random::<u64>());
            let record = config_fold::Record::new(record_id, body);
            self.configuration.append(record);
        }
    }

    fn tick_periodic(&mut self, now_ms: u64, unix_ms: u64) {
        if now_ms >= self.timers.vm_list_ms {
            // The next read starts after the reply, or the time limit.
            self.timers.vm_list_ms = u64::MAX;
            self.start_vm_list_read();
        }
        if now_ms >= self.timers.neighbours_ms || self.traffic.home.take_witness_failure() {
            self.timers.neighbours_ms = now_ms + NEIGHBOUR_INTERVAL_MS;
            self.ask_neighbours();
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

    fn take_configuration_news(&mut self, news: Vec<daemon::ConfigurationNews>) {
        if news.is_empty() {
            return;
        }
        let mut is_changed = false;
        for news in news {
            is_changed |= self.take_one_configuration_news(&news);
        }
        if is_changed && self.configuration.is_ready() {
            self.publish_configuration();
        }
        let next_offset = self.configuration.fold().next_offset();
        let event = membership::MembershipEvent::ConfigurationOffset { next_offset };
        let now_ms = self.context.clock.now_ms();
        let news = self.membership.handle(now_ms, event);
        self.take_membership_news(news);
    }

    /// Gives whether the configuration in force may have changed.
    fn take_one_configuration_news(&mut self, news: &daemon::ConfigurationNews) -> bool {
        let event = match news {
            daemon::ConfigurationNews::Folded(event) => event,
            daemon::ConfigurationNews::Ready => {
                telemetry::Event::Ready.info("a configuration is in force: serving");
                return true;
            }
        };
        configuration_control::log_fold_event(event);
        match event {
            config_fold::FoldEvent::BundleInForce { .. } => true,
            config_fold::FoldEvent::CheckpointAdopted { .. } => {
                self.health.note_skipped_records();
                true
            }
            config_fold::FoldEvent::LeaseTaken {
                duration_ms,
                holder,
                name,
                term,
            } => {
                self.health.note_lease(&health::LeaseRecord {
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

    fn take_membership_news(&mut self, news: Vec<daemon::MembershipNews>) {
        let now_ms = self.context.clock.now_ms();
        let is_changed = news.contains(&daemon::MembershipNews::Changed);
        for news in news {
            if let daemon::MembershipNews::OffsetSeen { next_offset, peer } = news {
                let news = self.configuration.offset_seen(now_ms, peer, next_offset);
                self.take_configuration_news(news);
            }
        }
        if is_changed {
            self.take_members(now_ms);
        }
    }

    fn take_members(&mut self, now_ms: u64) {
        let others: Vec<membership::Member> = self.membership.others().cloned().collect();
        self.others = others
            .iter()
            .map(|member| member.address)
            .take(TOLD_VM_COUNT)
            .collect();
        let news = self.configuration.change_members(now_ms, others.iter());
        let entry_vms = others
            .iter()
            .map(|member| (member.address, entry_vm(member)))
            .collect();
        self.publish(|snapshot| snapshot.entry_vms = entry_vms);
        self.take_configuration_news(news);
        if self.configuration.is_ready() {
            self.publish_configuration();
        }
        self.ask_neighbours();
    }

    fn publish_configuration(&mut self) {
        let Some(in_force) = self.configuration.fold().in_force() else {
            return;
        };
        let old = self.traffic.snapshot.load_full();
        let placement = self.placement(&old);
        let services = in_force.bundle.services.iter().map(|(name, definition)| {
            let known = old
                .configuration
                .as_ref()
                .and_then(|configuration| configuration.services.get(name));
            let definition = sync::Arc::new(definition.clone());
            let service = known.cloned().unwrap_or_else(|| {
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
        // The table is large; a change of members does not touch it.
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
        self.health.change_configuration(&configuration);
        self.publish(|snapshot| snapshot.configuration = Some(configuration));
    }

    /// Gives the peer address of each service's dispatcher: the first-ranked
    /// VM of the region. Two views may name two; that costs only load.
    fn dispatchers(
        &self,
        snapshot: &daemon::Snapshot,
        bundle: &crate::bundle::Bundle,
    ) -> indexmap::IndexMap<String, net::SocketAddr> {
        let others = snapshot.entry_vms.values();
        let mut vms: indexmap::IndexMap<&str, net::SocketAddr> = others
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

    fn vm_list_read(
        &mut self,
        now_ms: u64,
        read: Result<Vec<log_client::VmEntry>, log_client::LogError>,
    ) {
        let is_alone = self.others.is_empty();
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
            let message = format!("the VM list has {} VMs", vms.len());
            telemetry::Event::VmListChanged.info(&message);
        }
        let seen = membership_control::vms_seen(&vms);
        self.vms = vms;
        let event = membership::MembershipEvent::VmList(seen);
        let news = self.membership.handle(now_ms, event);
        self.take_membership_news(news);
    }

    fn ask_neighbours(&self) {
        let snapshot = self.traffic.snapshot.load();
        let entry_vms: Vec<&daemon::EntryVm> = snapshot.entry_vms.values().collect();
        let settings = &self.settings;
        let zone = &settings.availability_zone;
        let chosen = neighbours::choose(&settings.vm_id, zone, &settings.region, &entry_vms);
        neighbours::start_asking(&self.events, &self.peers, chosen);
    }

    fn neighbours_asked(&mut self, replies: Vec<peer::KeyPrefixReply>) {
        self.neighbours = replies;
        let lifetime_ms = self.settings.entry_point_lifetime_ms;
        let mut entry_points = neighbours::entry_points(&self.neighbours, lifetime_ms);
        let own = self.key_prefix();
        let own_key_prefix = own.key_prefix.clone();
        if own.takes_callers {
            let own_entry_point = neighbours::entry_points(&[own], lifetime_ms);
            entry_points.splice(0..0, own_entry_point);
        }
        // Orders are refused where there is no witness yet.
        if entry_points.iter().any(|point| point.key_prefix.is_some()) {
            entry_points.retain(|point| point.key_prefix.is_some());
        }
        self.publish(|snapshot| {
            snapshot.entry_points = entry_points;
            snapshot.own_key_prefix = own_key_prefix;
        });
    }

    fn key_prefix(&self) -> peer::KeyPrefixReply {
        let witness = neighbours::witness(&self.settings.availability_zone, &self.neighbours);
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
        telemetry::Event::LeaveBegun.info("leaving: withdrawn from entry points");
        let now_ms = self.context.clock.now_ms();
        let news = self
            .membership
            .handle(now_ms, membership::MembershipEvent::Leave);
        self.take_membership_news(news);
        self.neighbours_asked(self.neighbours.clone());
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
