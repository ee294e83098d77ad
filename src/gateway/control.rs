//! The control thread: knowledge of the fleet, the registry and the
//! configuration.

use std::net;
use std::sync;
use std::time;

use rand::Rng as _;
use rand::seq::IndexedRandom as _;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use crate::balancing;
use crate::gateway;
use crate::gateway::entry_points;
use crate::gateway::fleet_service;
use crate::gateway::knowledge;
use crate::health;
use crate::membership;
use crate::ports;
use crate::state_machine::StateMachine as _;
use crate::telemetry;

/// Largest datagram that is read, in bytes.
const MAX_DATAGRAM_BYTES: usize = 65_507;
/// Time between two looks at what is due.
const TICK: time::Duration = time::Duration::from_millis(75);
/// Events that may wait for the control thread.
const QUEUE_EVENTS: usize = 1_024;
/// Longest time by which VMs that are no readers wait for the readers' news
/// before they read the store, in milliseconds.
const MAX_JITTER_MS: u64 = 120;
/// Time for which a VM that cannot read the store is passed over as a reader,
/// in milliseconds: it tells again with each failed read.
const FAILING_MEMORY_MS: u64 = 3_000;
/// VMs that are told when this one cannot read the store.
const NEXT_READERS_COUNT: usize = 8;
/// VMs of the region told at once when something new is learned.
const URGENT_NEAR_COUNT: usize = 3;

/// Time after the start without any peer after which the store is asked for
/// the list of VMs, in milliseconds.
const ALONE_MS: u64 = 1_500;
/// Time between two questions to the store for the list of VMs, in
/// milliseconds.
const VM_LIST_INTERVAL_MS: u64 = 5_000;
/// Time between two sweeps of idle connections, in milliseconds.
const SWEEP_INTERVAL_MS: u64 = 1_000;
/// Thousandths in one.
const MILLI: u64 = 1_000;

/// What the control thread learns.
pub enum ControlEvent {
    /// The registry was read.
    BackendsRead {
        /// Whether all keys were read, not changes.
        is_newest: bool,
        /// What came.
        read: Result<ports::FeedPage<ports::Backend>, ports::StoreError>,
    },
    /// The configuration was read.
    ConfigurationRead {
        /// What came.
        read: Result<ports::FeedPage<ports::FleetConfiguration>, ports::StoreError>,
    },
    /// A datagram came in.
    Datagram {
        /// Its sender.
        from: net::SocketAddr,
        /// What it says.
        message: gateway::FleetMessage,
    },
    /// This VM leaves.
    Leave,
    /// A peer was asked for what changed.
    Pulled {
        /// The peer.
        from: net::SocketAddr,
        /// What came.
        pulled: Result<Option<fleet_service::PulledState>, String>,
    },
    /// The settings have other seeds.
    SeedsChanged(Vec<net::SocketAddr>),
    /// The store listed the VMs.
    VmsListed(Result<Vec<net::SocketAddr>, ports::StoreError>),
}

/// The control thread's state.
pub struct Control {
    configuration_schedule: gateway::ReadSchedule,
    /// VMs that said that they cannot read the store, and until when that holds.
    failing_until_ms: indexmap::IndexMap<net::SocketAddr, u64>,
    events: mpsc::Sender<ControlEvent>,
    is_announced: bool,
    is_listing_vms: bool,
    is_pulling: bool,
    knowledge: sync::Arc<sync::Mutex<knowledge::Knowledge>>,
    last_report: gateway::LoadReport,
    membership: membership::Membership,
    needs_newest_backends: bool,
    needs_newest_configuration: bool,
    next_list_ms: u64,
    next_news_ms: u64,
    next_report_ms: u64,
    next_sweep_ms: u64,
    peers: Vec<membership::Member>,
    ports: gateway::GatewayPorts,
    registry_schedule: gateway::ReadSchedule,
    shared: sync::Arc<gateway::Shared>,
    socket: sync::Arc<UdpSocket>,
}

impl Control {
    /// Gives a control that knows nothing but the seeds.
    #[must_use]
    pub fn new(
        shared: sync::Arc<gateway::Shared>,
        ports: gateway::GatewayPorts,
        socket: UdpSocket,
        membership: membership::Membership,
    ) -> (Self, mpsc::Receiver<ControlEvent>) {
        let (events, receiver) = mpsc::channel(QUEUE_EVENTS);
        let config = &shared.config;
        let jitter_ms = rand::rng().random_range(0..MAX_JITTER_MS);
        let interval_ms = config.store_read_interval_ms;
        let stale_ms = config.store_stale_ms;
        let control = Self {
            configuration_schedule: gateway::ReadSchedule::new(interval_ms, stale_ms, jitter_ms),
            events,
            failing_until_ms: indexmap::IndexMap::new(),
            is_announced: false,
            is_listing_vms: false,
            is_pulling: false,
            knowledge: sync::Arc::new(sync::Mutex::new(knowledge::Knowledge::new(
                sync::Arc::clone(&shared.clock),
            ))),
            last_report: gateway::LoadReport::default(),
            membership,
            needs_newest_backends: true,
            needs_newest_configuration: true,
            next_list_ms: ALONE_MS,
            next_news_ms: 0,
            next_report_ms: 0,
            next_sweep_ms: 0,
            peers: Vec::new(),
            ports,
            registry_schedule: gateway::ReadSchedule::new(interval_ms, stale_ms, jitter_ms),
            shared,
            socket: sync::Arc::new(socket),
        };
        (control, receiver)
    }

    /// Gives the sender of events for this control.
    #[must_use]
    pub fn events(&self) -> mpsc::Sender<ControlEvent> {
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
        mut events: mpsc::Receiver<ControlEvent>,
        mut outbox: mpsc::Receiver<gateway::FleetMessage>,
    ) {
        self.start_reading_datagrams();
        let seeds = self.shared.identity.seeds.clone();
        self.introduce(&seeds);
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

    fn now_ms(&self) -> u64 {
        self.shared.now_ms()
    }

    fn knowledge(&self) -> sync::MutexGuard<'_, knowledge::Knowledge> {
        self.knowledge
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn start_reading_datagrams(&self) {
        let socket = sync::Arc::clone(&self.socket);
        let events = self.events.clone();
        let shared = sync::Arc::clone(&self.shared);
        tokio::spawn(async move {
            let mut datagram = vec![0; MAX_DATAGRAM_BYTES];
            loop {
                let Ok((length, from)) = socket.recv_from(&mut datagram).await else {
                    shared.metrics.counters.add("fleet.receive-failed");
                    continue;
                };
                let counters = &shared.metrics.counters;
                counters.add_many("fleet.bytes-in", length as u64);
                let Ok(message) = postcard::from_bytes(&datagram[..length]) else {
                    counters.add("fleet.message-invalid");
                    shared.journal.decision("fleet.message-invalid", || {
                        format!("from={from} bytes={length}")
                    });
                    continue;
                };
                let event = ControlEvent::Datagram { from, message };
                if events.send(event).await.is_err() {
                    return;
                }
            }
        });
    }

    fn handle(&mut self, event: ControlEvent) {
        match event {
            ControlEvent::BackendsRead { is_newest, read } => self.take_backends(is_newest, read),
            ControlEvent::ConfigurationRead { read } => self.take_configuration(read),
            ControlEvent::Datagram { from, message } => self.take_datagram(from, message),
            ControlEvent::Leave => {
                self.feed_membership(membership::MembershipEvent::Leave);
                self.publish();
            }
            ControlEvent::Pulled { from, pulled } => self.take_pulled(from, pulled),
            ControlEvent::SeedsChanged(seeds) => self.introduce(&seeds),
            ControlEvent::VmsListed(listed) => self.take_vm_list(listed),
        }
    }

    fn tick(&mut self) {
        let now_ms = self.now_ms();
        if self
            .membership
            .next_wakeup_ms()
            .is_some_and(|due_ms| due_ms <= now_ms)
        {
            self.feed_membership(membership::MembershipEvent::Tick);
        }
        let changes = self.knowledge().backends.tick(now_ms);
        self.note_backend_changes(&changes, "lapse");
        self.start_reads(now_ms);
        if now_ms >= self.next_news_ms {
            self.next_news_ms = now_ms + self.shared.config.news_interval_ms;
            let mut receivers = self.random_peers(1, true);
            let far = self.shared.config.news_fanout_count.saturating_sub(1);
            receivers.extend(self.random_peers(far, false));
            self.send_news(&receivers);
        }
        if now_ms >= self.next_report_ms {
            self.next_report_ms = now_ms + self.shared.config.load_report_interval_ms;
            self.send_report();
        }
        if now_ms >= self.next_sweep_ms {
            self.next_sweep_ms = now_ms + SWEEP_INTERVAL_MS;
            self.sweep(now_ms);
        }
        self.look_for_vms(now_ms);
    }

    fn sweep(&self, now_ms: u64) {
        let known: indexmap::IndexSet<u64> = self
            .knowledge()
            .backends
            .backends()
            .map(|backend| backend.lifetime())
            .collect();
        let connections = &self.shared.connections;
        connections.sweep(|lifetime| known.contains(&lifetime));
        let _ = self
            .shared
            .quarantine()
            .handle(now_ms, health::QuarantineEvent::Tick);
    }

    fn start_reads(&mut self, now_ms: u64) {
        let (backends_ms, configuration_ms) = {
            let knowledge = self.knowledge();
            (
                knowledge.backends.confirmed_ms(),
                knowledge.configuration_confirmed_ms,
            )
        };
        let is_reader = self.is_reader(self.shared.config.store_readers_per_region);
        if self
            .registry_schedule
            .is_due(now_ms, is_reader, backends_ms)
        {
            self.registry_schedule.begin();
            self.read_backends();
        }
        if self
            .configuration_schedule
            .is_due(now_ms, is_reader, configuration_ms)
        {
            self.configuration_schedule.begin();
            self.read_configuration();
        }
    }

    /// Tells whether this VM is among the first of its region by rank that
    /// reach the store, as far as is known.
    fn is_reader(&self, count: usize) -> bool {
        let identity = &self.shared.identity;
        let now_ms = self.now_ms();
        let own = reader_rank(identity.peer_address);
        let others = self.peers.iter();
        let ahead = others.filter(|peer| {
            let fails = self.failing_until_ms.get(&peer.address);
            peer.region == identity.region
                && peer.state == membership::MemberState::Alive
                && fails.is_none_or(|until_ms| *until_ms <= now_ms)
                && reader_rank(peer.address) > own
        });
        ahead.count() < count
    }

    /// Tells the VMs that would read the store next that this one cannot.
    fn tell_next_readers(&self) {
        let region = &self.shared.identity.region;
        let near = self.peers.iter().filter(|peer| peer.region == *region);
        let mut ranked: Vec<net::SocketAddr> = near.map(|peer| peer.address).collect();
        ranked.sort_by_cached_key(|address| u64::MAX - reader_rank(*address));
        ranked.truncate(NEXT_READERS_COUNT);
        self.send_news(&ranked);
    }

    /// Takes in how a read of the store ended.
    fn note_read(&mut self, feed: &str, is_changed: bool, error: Option<&ports::StoreError>) {
        let is_gone = matches!(error, Some(ports::StoreError::HistoryGone { .. }));
        let fails = error.is_some() && !is_gone;
        let now_ms = self.now_ms();
        self.knowledge().store_failed_ms = fails.then_some(now_ms);
        if fails {
            self.shared.metrics.counters.add("store.read-failed");
            self.tell_next_readers();
        }
        if is_changed {
            self.note_store(feed, error);
        }
    }

    fn read_backends(&self) {
        let feed = sync::Arc::clone(&self.ports.backends);
        let from = self.knowledge().backends.next_offset();
        let from = from.filter(|_| !self.needs_newest_backends);
        let wait = self.shared.config.store_wait();
        let timeout = self.shared.config.store_call_timeout();
        let events = self.events.clone();
        self.shared.metrics.counters.add("store.registry-read");
        tokio::spawn(async move {
            let reading = async {
                match from {
                    Some(from) => feed.changes(from, wait).await,
                    None => feed.newest().await,
                }
            };
            let read = within(timeout + wait, reading).await;
            let event = ControlEvent::BackendsRead {
                is_newest: from.is_none(),
                read,
            };
            let _ = events.send(event).await;
        });
    }

    fn read_configuration(&self) {
        let feed = sync::Arc::clone(&self.ports.configuration);
        let from = self.knowledge().configuration_next_offset;
        let from = from.filter(|_| !self.needs_newest_configuration);
        let wait = self.shared.config.store_wait();
        let timeout = self.shared.config.store_call_timeout();
        let events = self.events.clone();
        self.shared.metrics.counters.add("store.configuration-read");
        tokio::spawn(async move {
            let reading = async {
                match from {
                    Some(from) => feed.changes(from, wait).await,
                    None => feed.newest().await,
                }
            };
            let read = within(timeout + wait, reading).await;
            let _ = events.send(ControlEvent::ConfigurationRead { read }).await;
        });
    }

    fn take_backends(
        &mut self,
        is_newest: bool,
        read: Result<ports::FeedPage<ports::Backend>, ports::StoreError>,
    ) {
        let now_ms = self.now_ms();
        let is_answered = read.is_ok() || is_history_gone(&read);
        let is_changed = self.registry_schedule.end(now_ms, is_answered);
        self.note_read("registry", is_changed, read.as_ref().err());
        match read {
            Ok(page) => {
                self.needs_newest_backends = false;
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
            Err(ports::StoreError::HistoryGone { first_offset }) => {
                self.needs_newest_backends = true;
                self.shared.journal.decision("store.history-gone", || {
                    format!("feed=registry first_offset={first_offset}")
                });
            }
            Err(_) => {}
        }
    }

    fn take_configuration(
        &mut self,
        read: Result<ports::FeedPage<ports::FleetConfiguration>, ports::StoreError>,
    ) {
        let now_ms = self.now_ms();
        let is_answered = read.is_ok() || is_history_gone(&read);
        let is_changed = self.configuration_schedule.end(now_ms, is_answered);
        self.note_read("configuration", is_changed, read.as_ref().err());
        match read {
            Ok(page) => {
                self.needs_newest_configuration = false;
                {
                    let mut knowledge = self.knowledge();
                    knowledge.configuration_confirmed_ms = Some(now_ms);
                    knowledge.configuration_next_offset = Some(page.next_offset);
                }
                for entry in page.entries {
                    self.take_configuration_record(entry);
                }
            }
            Err(ports::StoreError::HistoryGone { first_offset }) => {
                self.needs_newest_configuration = true;
                self.shared.journal.decision("store.history-gone", || {
                    format!("feed=configuration first_offset={first_offset}")
                });
            }
            Err(_) => {}
        }
    }

    fn take_configuration_record(&mut self, entry: ports::FeedEntry<ports::FleetConfiguration>) {
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

    /// Puts a configuration in force if it is newer than the one in force and
    /// has no fault.
    fn put_in_force(&mut self, configuration: ports::FleetConfiguration, source: &str) {
        let version = configuration.version;
        let in_force = self.knowledge().configuration_version();
        if version <= in_force {
            return;
        }
        if let Some(fault) = configuration.fault() {
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
        let now_ms = self.now_ms();
        match message {
            gateway::FleetMessage::Evidence { evidence, lifetime } => {
                self.shared
                    .board()
                    .note_peer_evidence(now_ms, lifetime, evidence, 1);
            }
            gateway::FleetMessage::Load(report) => {
                self.shared.board().note_report(now_ms, from, report);
            }
            gateway::FleetMessage::Membership(message) => {
                self.feed_membership(membership::MembershipEvent::Message { from, message });
            }
            gateway::FleetMessage::News(news) => self.take_news(now_ms, from, news),
            gateway::FleetMessage::Quarantine(summary) => {
                let event = health::QuarantineEvent::PeerSummary(summary);
                let _ = self.shared.quarantine().handle(now_ms, event);
            }
        }
    }

    fn take_news(&mut self, now_ms: u64, from: net::SocketAddr, news: gateway::News) {
        if news.store_fails {
            self.failing_until_ms
                .insert(from, now_ms + FAILING_MEMORY_MS);
        } else {
            self.failing_until_ms.swap_remove(&from);
        }
        let needs_pull = {
            let mut knowledge = self.knowledge();
            knowledge.confirm_from(now_ms, &news);
            news.configuration_version > knowledge.configuration_version()
                || news.registry_mark > knowledge.backends.change_mark()
        };
        if needs_pull && !self.is_pulling {
            self.is_pulling = true;
            let (mark, version) = {
                let knowledge = self.knowledge();
                (
                    knowledge.backends.change_mark(),
                    knowledge.configuration_version(),
                )
            };
            let events = self.events.clone();
            tokio::spawn(async move {
                let pulled = fleet_service::pull(from, mark, version).await;
                let _ = events.send(ControlEvent::Pulled { from, pulled }).await;
            });
        }
    }

    fn take_pulled(
        &mut self,
        from: net::SocketAddr,
        pulled: Result<Option<fleet_service::PulledState>, String>,
    ) {
        self.is_pulling = false;
        let state = match pulled {
            Ok(Some(state)) => state,
            Ok(None) => return,
            Err(error) => {
                self.shared.metrics.counters.add("fleet.pull-failed");
                self.shared.journal.decision("fleet.pull-failed", || {
                    format!("from={from} error=\"{error}\"")
                });
                return;
            }
        };
        let now_ms = self.now_ms();
        let changes = {
            let mut knowledge = self.knowledge();
            let changes = knowledge.backends.merge(
                now_ms,
                state.rows,
                state.is_whole,
                state.registry_next_offset,
            );
            knowledge.confirm_from(now_ms, &state.news);
            changes
        };
        if knowledge::is_known(&self.knowledge()) {
            self.needs_newest_backends = false;
        }
        self.note_backend_changes(&changes, &format!("peer={from}"));
        self.publish_if_registry_is_new();
        let changed = state.configuration_change.and_then(|change| {
            let knowledge = self.knowledge();
            change.apply(&knowledge.routes()?.configuration)
        });
        if let Some(configuration) = state.configuration.or(changed) {
            self.put_in_force(configuration, &format!("peer={from}"));
        }
    }

    fn note_store(&self, feed: &str, error: Option<&ports::StoreError>) {
        if let Some(error) = error {
            self.shared.metrics.counters.add("store.lost");
            telemetry::Event::LogUnavailable
                .warn(&format!("name=store.lost feed={feed} error=\"{error}\""));
        } else {
            self.shared.metrics.counters.add("store.regained");
            telemetry::Event::LogAvailable.info(&format!("name=store.regained feed={feed}"));
        }
    }

    fn note_backend_changes(&mut self, changes: &[gateway::BackendChange], source: &str) {
        if changes.is_empty() {
            return;
        }
        for change in changes {
            self.shared.metrics.counters.add("registry.change");
            self.shared.journal.decision("registry.change", || {
                let state = change.backend.as_ref().map_or_else(
                    || "gone".to_owned(),
                    |backend| {
                        format!(
                            "{:?} service={} address={} born_unix_ms={} zone={}",
                            backend.state,
                            backend.service,
                            backend.address,
                            backend.born_unix_ms,
                            backend.availability_zone
                        )
                    },
                );
                let fault = change.fault.as_deref().unwrap_or("");
                let state = change.deferred_until_ms.map_or(state, |until_ms| {
                    format!("removal-deferred until_ms={until_ms}")
                });
                format!(
                    "server={} offset={} source={source} fault=\"{fault}\" state={state}",
                    change.key, change.offset
                )
            });
        }
        let now_ms = self.now_ms();
        {
            let knowledge = self.knowledge();
            let mut board = self.shared.board();
            board.set_backends(now_ms, knowledge.backends.backends());
        }
        self.send_urgent_news();
    }

    /// Publishes that the registry is known, the first time.
    fn publish_if_registry_is_new(&self) {
        if !self.shared.snapshot.load().is_registry_known {
            self.publish();
        }
    }

    fn publish(&self) {
        let vms = self.entry_vms();
        let retry_slack_milli = self.retry_slack_milli(&vms);
        let (is_registry_known, routes) = {
            let knowledge = self.knowledge();
            (knowledge::is_known(&knowledge), knowledge.routes().cloned())
        };
        let snapshot = gateway::Snapshot {
            is_registry_known,
            retry_slack_milli,
            routes,
            vms,
        };
        self.shared.snapshot.store(sync::Arc::new(snapshot));
    }

    fn entry_vms(&self) -> Vec<gateway::EntryVm> {
        let identity = &self.shared.identity;
        let own = gateway::EntryVm {
            availability_zone: identity.availability_zone.clone(),
            caller_address: identity.caller_address,
            region: identity.region.clone(),
        };
        let own = (!self.shared.is_leaving()).then_some(own);
        let alive = self.peers.iter();
        let alive = alive.filter(|peer| peer.state == membership::MemberState::Alive);
        let others = alive.map(|peer| gateway::EntryVm {
            availability_zone: peer.availability_zone.clone(),
            caller_address: peer.caller_address,
            region: peer.region.clone(),
        });
        own.into_iter().chain(others).collect()
    }

    /// Gives this VM's share of the retry slack. The VMs that callers are
    /// told of share it; any other VM gets few requests and no slack.
    fn retry_slack_milli(&self, vms: &[gateway::EntryVm]) -> u64 {
        let chosen = self.chosen_vms(vms, None);
        let own = self.shared.identity.caller_address;
        if !chosen.contains(&own) {
            return 0;
        }
        let slack = self.shared.bounds.retry_slack_count * MILLI;
        let part = slack * self.shared.config.retry_slack_percent / 100;
        part / chosen.len().max(1) as u64
    }

    /// Gives the addresses that callers are told of, of all zones of a region
    /// or of all regions.
    fn chosen_vms(
        &self,
        vms: &[gateway::EntryVm],
        region: Option<&str>,
    ) -> indexmap::IndexSet<net::SocketAddr> {
        let zones: indexmap::IndexSet<(&str, &str)> = vms
            .iter()
            .filter(|vm| region.is_none_or(|region| vm.region == region))
            .map(|vm| (vm.availability_zone.as_str(), vm.region.as_str()))
            .collect();
        let config = &self.shared.config;
        let chosen = zones
            .iter()
            .flat_map(|(zone, region)| entry_points::choose(config, vms, zone, region));
        chosen.map(|vm| vm.caller_address).collect()
    }

    fn feed_membership(&mut self, event: membership::MembershipEvent) {
        let now_ms = self.now_ms();
        for action in self.membership.handle(now_ms, event) {
            match action {
                membership::MembershipAction::Changed => self.take_members(),
                membership::MembershipAction::PeerOffsetSeen { .. } => {}
                membership::MembershipAction::Send { message, to } => {
                    self.send(&gateway::FleetMessage::Membership(message), to);
                }
            }
        }
    }

    fn take_members(&mut self) {
        let others = self.membership.members().skip(1);
        let up = others.filter(|member| {
            !matches!(
                member.state,
                membership::MemberState::Dead | membership::MemberState::Leaving
            )
        });
        self.peers = up.cloned().collect();
        let suspects = self.peers.iter();
        let suspects = suspects.filter(|peer| peer.state == membership::MemberState::Suspect);
        let suspects = suspects.count();
        self.shared.journal.decision("membership.changed", || {
            format!("vms={} suspects={suspects}", self.peers.len() + 1)
        });
        self.publish();
    }

    fn introduce(&mut self, addresses: &[net::SocketAddr]) {
        let seen = addresses
            .iter()
            .filter(|address| **address != self.shared.identity.peer_address)
            .map(|address| membership::VmSeen {
                address: *address,
                leaving: false,
                vm_id: address.to_string(),
            })
            .collect();
        self.feed_membership(membership::MembershipEvent::VmList(seen));
    }

    /// Asks the store for other VMs while none is known, and lists this VM
    /// there once it reads the store for others.
    fn look_for_vms(&mut self, now_ms: u64) {
        let is_alone = self.peers.is_empty();
        let is_due = now_ms >= self.next_list_ms && !self.is_listing_vms;
        if !is_due || (self.is_announced && !is_alone) {
            return;
        }
        if !is_alone && !self.is_reader(self.shared.config.store_readers_per_region) {
            return;
        }
        self.is_listing_vms = true;
        self.next_list_ms = now_ms + VM_LIST_INTERVAL_MS;
        let vms = sync::Arc::clone(&self.ports.vms);
        let own = self.shared.identity.peer_address;
        let must_announce = !self.is_announced;
        let timeout = self.shared.config.store_call_timeout();
        let events = self.events.clone();
        tokio::spawn(async move {
            let asking = async {
                if must_announce {
                    vms.announce(own).await?;
                }
                if is_alone {
                    vms.list().await
                } else {
                    Ok(Vec::new())
                }
            };
            let listed = within(timeout, asking).await;
            let _ = events.send(ControlEvent::VmsListed(listed)).await;
        });
    }

    fn take_vm_list(&mut self, listed: Result<Vec<net::SocketAddr>, ports::StoreError>) {
        self.is_listing_vms = false;
        match listed {
            Ok(addresses) => {
                self.is_announced = true;
                self.shared
                    .journal
                    .decision("vms.listed", || format!("vms={}", addresses.len()));
                self.introduce(&addresses);
            }
            Err(error) => self
                .shared
                .journal
                .decision("vms.list-failed", || format!("error=\"{error}\"")),
        }
    }

    fn random_peers(&self, count: usize, is_near: bool) -> Vec<net::SocketAddr> {
        let region = &self.shared.identity.region;
        let near: Vec<net::SocketAddr> = self
            .peers
            .iter()
            .filter(|peer| !is_near || peer.region == *region)
            .map(|peer| peer.address)
            .collect();
        near.choose_multiple(&mut rand::rng(), count)
            .copied()
            .collect()
    }

    fn send_urgent_news(&mut self) {
        let mut receivers = self.random_peers(URGENT_NEAR_COUNT, true);
        receivers.extend(self.random_peers(1, false));
        self.send_news(&receivers);
    }

    fn send_news(&self, receivers: &[net::SocketAddr]) {
        let news = self.knowledge().news(self.now_ms());
        for receiver in receivers {
            self.send(&gateway::FleetMessage::News(news), *receiver);
        }
    }

    fn send_report(&mut self) {
        let report = self.shared.board().take_report();
        let is_empty = report.in_flight.is_empty() && report.successes.is_empty();
        if is_empty && report == self.last_report {
            return;
        }
        self.tell_region(&gateway::FleetMessage::Load(report.clone()));
        self.last_report = report;
    }

    /// Sends a message to the VMs of the region that carry its requests.
    fn tell_region(&self, message: &gateway::FleetMessage) {
        let vms = self.entry_vms();
        let chosen = self.chosen_vms(&vms, Some(&self.shared.identity.region));
        let is_for_all = matches!(message, gateway::FleetMessage::Quarantine(_));
        for peer in &self.peers {
            if is_for_all || chosen.contains(&peer.caller_address) {
                self.send(message, peer.address);
            }
        }
    }

    fn send(&self, message: &gateway::FleetMessage, to: net::SocketAddr) {
        let counters = &self.shared.metrics.counters;
        let Ok(datagram) = postcard::to_stdvec(message) else {
            counters.add("fleet.encode-failed");
            return;
        };
        // A datagram that cannot be sent at once counts as lost.
        match self.socket.try_send_to(&datagram, to) {
            Ok(length) => counters.add_many("fleet.bytes-out", length as u64),
            Err(_) => counters.add("fleet.send-failed"),
        }
    }
}

/// Gives the rank by which VMs read the store; the highest reads first.
fn reader_rank(peer: net::SocketAddr) -> u64 {
    balancing::rendezvous::rank("store", &peer.to_string())
}

fn is_history_gone<T>(read: &Result<T, ports::StoreError>) -> bool {
    matches!(read, Err(ports::StoreError::HistoryGone { .. }))
}

async fn within<T>(
    timeout: time::Duration,
    reading: impl Future<Output = Result<T, ports::StoreError>>,
) -> Result<T, ports::StoreError> {
    let answered = tokio::time::timeout(timeout, reading).await;
    answered.unwrap_or_else(|_| {
        Err(ports::StoreError::Unanswered {
            detail: format!("no answer within {} ms", timeout.as_millis()),
        })
    })
}
