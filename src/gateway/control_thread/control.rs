//! The control thread's loop.

use std::net;
use std::sync;
use std::time;

use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use crate::gateway;
use crate::gateway::control_thread::control_event;
use crate::gateway::control_thread::fleet_service;
use crate::gateway::control_thread::knowledge;
use crate::gateway::control_thread::members;
use crate::gateway::control_thread::outgoing;
use crate::gateway::control_thread::store_reads;
use crate::gateway::control_thread::vm_search;
use crate::health;
use crate::membership;
use crate::ports;
use crate::state_machine::StateMachine as _;
use crate::telemetry;

/// Time between two looks at what is due.
const TICK: time::Duration = time::Duration::from_millis(75);
/// Events that may wait for the control thread.
const QUEUE_EVENTS: usize = 1_024;
/// VMs of the region told at once when something new is learned.
const URGENT_NEAR_COUNT: usize = 3;
/// Time between two sweeps of idle connections, in milliseconds.
const SWEEP_INTERVAL_MS: u64 = 1_000;

/// The control thread's state.
pub struct Control {
    events: mpsc::Sender<control_event::ControlEvent>,
    knowledge: sync::Arc<sync::Mutex<knowledge::Knowledge>>,
    members: members::Members,
    next_news_ms: u64,
    next_report_ms: u64,
    next_sweep_ms: u64,
    outgoing: sync::Arc<outgoing::Outgoing>,
    pulls: gateway::PullSchedule,
    reads: store_reads::StoreReads,
    search: vm_search::VmSearch,
    shared: sync::Arc<gateway::Shared>,
    slack: gateway::SlackShare,
    was_idle: bool,
}

impl Control {
    /// Gives a control that knows nothing yet, and where its events come in.
    #[must_use]
    pub fn new(
        shared: sync::Arc<gateway::Shared>,
        ports: &gateway::GatewayPorts,
        socket: UdpSocket,
        membership: membership::Membership,
    ) -> (Self, mpsc::Receiver<control_event::ControlEvent>) {
        let (events, receiver) = mpsc::channel(QUEUE_EVENTS);
        let outgoing = outgoing::Outgoing::new(sync::Arc::clone(&shared), socket);
        let outgoing = sync::Arc::new(outgoing);
        let knowledge = knowledge::Knowledge::new(sync::Arc::clone(&shared.clock));
        let control = Self {
            events: events.clone(),
            knowledge: sync::Arc::new(sync::Mutex::new(knowledge)),
            members: members::Members::new(
                sync::Arc::clone(&shared),
                sync::Arc::clone(&outgoing),
                membership,
            ),
            next_news_ms: 0,
            next_report_ms: 0,
            next_sweep_ms: 0,
            outgoing,
            pulls: gateway::PullSchedule::default(),
            reads: store_reads::StoreReads::new(
                sync::Arc::clone(&shared),
                ports.clone(),
                events.clone(),
            ),
            search: vm_search::VmSearch::new(sync::Arc::clone(&shared), ports.clone(), events),
            slack: slack_share(&shared),
            shared,
            was_idle: false,
        };
        (control, receiver)
    }

    /// Gives the sender of events for this control.
    #[must_use]
    pub fn events(&self) -> mpsc::Sender<control_event::ControlEvent> {
        self.events.clone()
    }

    /// Gives the source of pulls.
    #[must_use]
    pub fn state_source(&self) -> sync::Arc<dyn fleet_service::StateSource> {
        sync::Arc::new(knowledge::KnowledgeSource(sync::Arc::clone(
            &self.knowledge,
        )))
    }

    /// Runs until the process ends.
    pub async fn run(
        mut self,
        mut events: mpsc::Receiver<control_event::ControlEvent>,
        mut outbox: mpsc::Receiver<gateway::FleetMessage>,
    ) {
        self.outgoing.start_reading(self.events.clone());
        let seeds = self.shared.identity.seeds.clone();
        self.members.introduce(&seeds);
        self.publish();
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                Some(event) = events.recv() => self.handle(event),
                Some(message) = outbox.recv() => self.tell_region(&message),
                _ = ticks.tick() => self.tick(),
            }
        }
    }

    fn knowledge(&self) -> sync::MutexGuard<'_, knowledge::Knowledge> {
        self.knowledge
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn handle(&mut self, event: control_event::ControlEvent) {
        match event {
            control_event::ControlEvent::BackendsRead { is_newest, read } => {
                self.take_backends(is_newest, read);
            }
            control_event::ControlEvent::ConfigurationRead { read } => {
                self.take_configuration(read);
            }
            control_event::ControlEvent::Datagram { from, message } => {
                self.take_datagram(from, message);
            }
            control_event::ControlEvent::Leave => {
                self.members.handle(membership::MembershipEvent::Leave);
                self.publish();
            }
            control_event::ControlEvent::Pulled { from, pulled } => self.take_pulled(from, pulled),
            control_event::ControlEvent::SeedsChanged(seeds) => {
                if self.members.introduce(&seeds) {
                    self.publish();
                }
            }
            control_event::ControlEvent::VmsListed(listed) => self.take_vm_list(listed),
        }
    }

    fn tick(&mut self) {
        let now_ms = self.shared.now_ms();
        if self.members.tick(now_ms) {
            self.publish();
        }
        let changes = self.knowledge().backends.tick(now_ms);
        self.note_backend_changes(&changes, "lapse");
        let is_reader = self.members.is_reader(now_ms);
        {
            let knowledge = sync::Arc::clone(&self.knowledge);
            let knowledge = knowledge
                .lock()
                .unwrap_or_else(sync::PoisonError::into_inner);
            self.reads.start_due(now_ms, is_reader, &knowledge);
        }
        let is_alone = self.members.peers().is_empty();
        self.search.tick(now_ms, is_alone, is_reader);
        if now_ms >= self.next_news_ms {
            self.next_news_ms = now_ms + self.shared.config.news_interval_ms;
            let mut receivers = self.members.random(1, true);
            let far = self.shared.config.news_fanout_count.saturating_sub(1);
            receivers.extend(self.members.random(far, false));
            self.send_news(&receivers);
        }
        if now_ms >= self.next_report_ms {
            self.next_report_ms = now_ms + self.shared.config.load_report_interval_ms;
            self.send_report();
        }
        if now_ms >= self.next_sweep_ms {
            self.next_sweep_ms = now_ms + SWEEP_INTERVAL_MS;
            self.sweep(now_ms);
            // A share of the slack that has grown counts some time later.
            self.publish();
        }
    }

    /// Closes idle connections and forgets old quarantines.
    fn sweep(&self, now_ms: u64) {
        let known: indexmap::IndexSet<u64> = {
            let knowledge = self.knowledge();
            let backends = knowledge.backends.backends();
            backends.map(|backend| backend.lifetime()).collect()
        };
        let connections = &self.shared.connections;
        connections.sweep(|lifetime| known.contains(&lifetime));
        let event = health::QuarantineEvent::Tick;
        let _ = self.shared.quarantine().handle(now_ms, event);
    }

    fn take_backends(
        &mut self,
        is_newest: bool,
        read: Result<ports::FeedPage<ports::Backend>, ports::StoreError>,
    ) {
        let fails = self.reads.end_backends(read.as_ref().err());
        self.note_read(fails);
        let Ok(page) = read else {
            return;
        };
        let now_ms = self.shared.now_ms();
        let changes = {
            let mut knowledge = self.knowledge();
            if page.is_at_end {
                knowledge.backends.confirm(now_ms, now_ms);
            }
            if is_newest {
                knowledge.backends.apply_newest(now_ms, page)
            } else {
                knowledge.backends.apply_changes(now_ms, page)
            }
        };
        self.note_backend_changes(&changes, "store");
        self.publish_if_registry_is_new();
    }

    fn take_configuration(
        &mut self,
        read: Result<ports::FeedPage<ports::FleetConfiguration>, ports::StoreError>,
    ) {
        let fails = self.reads.end_configuration(read.as_ref().err());
        self.note_read(fails);
        let Ok(page) = read else {
            return;
        };
        {
            let mut knowledge = self.knowledge();
            knowledge.configuration_confirmed_ms = Some(self.shared.now_ms());
            knowledge.configuration_next_offset = Some(page.next_offset);
        }
        for entry in page.entries {
            let source = format!("offset={}", entry.offset);
            match entry.value {
                Ok(Some(configuration)) => self.put_in_force(configuration, &source),
                Ok(None) => {}
                Err(fault) => telemetry::Event::RecordRejected.warn(&format!(
                    "name=configuration.rejected {source} key={} fault=\"{fault}\"",
                    entry.key
                )),
            }
        }
    }

    /// Notes whether this VM can read the store, and tells those that would
    /// read instead.
    fn note_read(&self, fails: bool) {
        let now_ms = self.shared.now_ms();
        self.knowledge().store_failed_ms = fails.then_some(now_ms);
        if fails {
            self.knowledge().backends.note_failure(now_ms);
            self.send_news(&self.members.next_readers());
        }
    }

    /// Puts a configuration in force if it is newer than the one in force and
    /// has no fault.
    fn put_in_force(&mut self, configuration: ports::FleetConfiguration, source: &str) {
        let version = configuration.version;
        let in_force = self.knowledge().configuration_version();
        if version <= in_force {
            return;
        }
        if let Some(fault) = configuration.validation_error() {
            telemetry::Event::RecordRejected.warn(&format!(
                "name=configuration.rejected {source} version={version} in_force={in_force} \
                 fault=\"{fault}\""
            ));
            return;
        }
        let routes = configuration.routes.len();
        let index = gateway::RouteIndex::build(sync::Arc::new(configuration));
        self.knowledge().set_routes(sync::Arc::new(index));
        telemetry::Event::BundleInForce.info(&format!(
            "name=configuration.in-force {source} version={version} before={in_force} \
             routes={routes}"
        ));
        self.publish();
        self.send_urgent_news();
    }

    fn take_datagram(&mut self, from: net::SocketAddr, message: gateway::FleetMessage) {
        let now_ms = self.shared.now_ms();
        match message {
            gateway::FleetMessage::Evidence { evidence, lifetime } => {
                self.shared
                    .update_board(|board| board.note_peer_evidence(now_ms, lifetime, evidence));
            }
            gateway::FleetMessage::Load(report) => {
                self.shared
                    .update_board(|board| board.note_report(now_ms, from, &report));
            }
            gateway::FleetMessage::Membership(message) => {
                let event = membership::MembershipEvent::Message { from, message };
                if self.members.handle(event) {
                    self.publish();
                }
            }
            gateway::FleetMessage::News(news) => self.take_news(now_ms, from, news),
            gateway::FleetMessage::Quarantine(summary) => {
                let event = health::QuarantineEvent::PeerSummary(summary);
                let _ = self.shared.quarantine().handle(now_ms, event);
            }
        }
    }

    fn take_news(&mut self, now_ms: u64, from: net::SocketAddr, news: gateway::News) {
        self.members.note_reader(now_ms, from, news.store_fails);
        let (mark, version) = {
            let mut knowledge = self.knowledge();
            if news.store_fails {
                knowledge.backends.note_failure(now_ms);
            }
            knowledge.confirm_from(now_ms, &news);
            (
                knowledge.backends.change_mark(),
                knowledge.configuration_version(),
            )
        };
        let seen = gateway::NewsSeen {
            asks_first: version == 0 || self.members.is_reader(now_ms),
            is_near: self.members.is_near(from),
            is_newer: news.configuration_version > version || news.registry_mark > mark,
        };
        if !self.pulls.note_news(now_ms, seen) {
            return;
        }
        let events = self.events.clone();
        tokio::spawn(async move {
            let pulled = fleet_service::pull(from, mark, version).await;
            let pulled = pulled.map(|state| state.map(Box::new));
            let event = control_event::ControlEvent::Pulled { from, pulled };
            let _ = events.send(event).await;
        });
    }

    fn take_pulled(
        &mut self,
        from: net::SocketAddr,
        pulled: Result<Option<Box<fleet_service::PulledState>>, String>,
    ) {
        self.pulls.end(pulled.is_ok());
        let state = match pulled {
            Ok(Some(state)) => *state,
            Ok(None) => return,
            Err(error) => {
                self.shared.metrics.counters.add("fleet.pull-failed");
                let decision_log = &self.shared.decision_log;
                decision_log.record("fleet.pull-failed", || {
                    format!("from={from} error=\"{error}\"")
                });
                return;
            }
        };
        let now_ms = self.shared.now_ms();
        let source = format!("peer={from}");
        let (changes, updated_configuration, is_known) = {
            let mut knowledge = self.knowledge();
            let next_offset = state.registry_next_offset;
            let whole_mark = state.is_whole.then_some(state.news.registry_mark);
            let changes = knowledge
                .backends
                .merge(now_ms, state.rows, whole_mark, next_offset);
            knowledge.confirm_from(now_ms, &state.news);
            let update = state.configuration_change.as_ref();
            let update = update.zip(knowledge.routes());
            let updated = update.and_then(|(change, routes)| change.apply(&routes.configuration));
            (changes, updated, knowledge::is_known(&knowledge))
        };
        if is_known {
            self.reads.note_backends_known();
        }
        self.note_backend_changes(&changes, &source);
        self.publish_if_registry_is_new();
        if let Some(configuration) = state.configuration.or(updated_configuration) {
            self.put_in_force(configuration, &source);
        }
    }

    fn take_vm_list(&mut self, listed: Result<Vec<net::SocketAddr>, ports::StoreError>) {
        self.search.end(listed.is_ok());
        let decision_log = &self.shared.decision_log;
        match listed {
            Ok(addresses) => {
                decision_log.record("vms.listed", || format!("vms={}", addresses.len()));
                if self.members.introduce(&addresses) {
                    self.publish();
                }
            }
            Err(error) => decision_log.record("vms.list-failed", || format!("error=\"{error}\"")),
        }
    }

    fn note_backend_changes(&self, changes: &[gateway::BackendChange], source: &str) {
        if changes.is_empty() {
            return;
        }
        for change in changes {
            self.shared.metrics.counters.add("registry.change");
            let decision_log = &self.shared.decision_log;
            decision_log.record("registry.change", || format!("{change} source={source}"));
        }
        let now_ms = self.shared.now_ms();
        {
            let knowledge = self.knowledge();
            let mut board = self.shared.board();
            board.set_backends(now_ms, knowledge.backends.backends());
        }
        self.send_urgent_news();
    }

    /// Publishes that the registry is known, the first time.
    fn publish_if_registry_is_new(&mut self) {
        if !self.shared.snapshot.load().is_registry_known {
            self.publish();
        }
    }

    fn publish(&mut self) {
        let vms = self.members.entry_vms();
        let share_milli = self.members.retry_slack_milli(&vms);
        let retry_slack_milli = self.slack.note(self.shared.now_ms(), share_milli);
        let (is_registry_known, routes) = {
            let knowledge = self.knowledge();
            (knowledge::is_known(&knowledge), knowledge.routes().cloned())
        };
        let snapshot = gateway::Snapshot {
            is_registry_known,
            routes,
            retry_slack_milli,
            vms,
        };
        self.shared.snapshot.store(sync::Arc::new(snapshot));
    }

    fn send_urgent_news(&self) {
        let mut receivers = self.members.random(URGENT_NEAR_COUNT, true);
        receivers.extend(self.members.random(1, false));
        self.send_news(&receivers);
    }

    fn send_news(&self, receivers: &[net::SocketAddr]) {
        let news = self.knowledge().news(self.shared.now_ms());
        for receiver in receivers {
            self.outgoing
                .send(&gateway::FleetMessage::News(news), *receiver);
        }
    }

    /// Tells the region's VMs this VM's load. Two reports without any are not
    /// sent one after the other.
    fn send_report(&mut self) {
        let report = self.shared.board().take_report();
        let is_idle = report.is_empty();
        if !is_idle || !self.was_idle {
            self.tell_region(&gateway::FleetMessage::Load(report));
        }
        self.was_idle = is_idle;
    }

    /// Sends a message to the VMs that carry the region's requests; what
    /// concerns crashing requests goes to all VMs.
    fn tell_region(&self, message: &gateway::FleetMessage) {
        let receivers = if matches!(message, gateway::FleetMessage::Quarantine(_)) {
            let peers = self.members.peers().iter();
            peers.map(|peer| peer.address).collect()
        } else {
            self.members.near_carriers()
        };
        for receiver in receivers {
            self.outgoing.send(message, receiver);
        }
    }
}

fn slack_share(shared: &gateway::Shared) -> gateway::SlackShare {
    let window_ms = shared.bounds.retry_window_ms;
    gateway::SlackShare::new(shared.now_ms(), window_ms, shared.retry_slack_milli())
}
