//! Event loop of the control thread.

mod state_exchange;

use std::net;
use std::sync;
use std::time;

use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use crate::admission;
use crate::gateway;
use crate::gateway::control_thread::control_event;
use crate::gateway::control_thread::datagram_socket;
use crate::gateway::control_thread::fleet_service;
use crate::gateway::control_thread::health_check;
use crate::gateway::control_thread::members;
use crate::gateway::control_thread::store_cache;
use crate::gateway::control_thread::store_reads;
use crate::gateway::control_thread::vm_discovery;
use crate::gateway::traffic_thread::request_queues;
use crate::health;
use crate::membership;
use crate::ports;
use crate::state_machine::StateMachine as _;
use crate::telemetry;

/// Interval at which timers are checked.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(75);
/// Maximum number of queued control events.
const EVENT_QUEUE_CAPACITY: usize = 1_024;
/// Time between two requests of a VM without any state for it, in milliseconds.
const STATE_REQUEST_INTERVAL_MS: u64 = 150;
/// Least difference between two confirmations of the configuration that are published one
/// after the other, in milliseconds.
const MIN_CONFIRMATION_STEP_MS: u64 = 50;
/// Part of the fleet's retry slack that a VM whose settings name no other VM has in its
/// first window, as a divisor.
const LONE_VM_SHARE_DIVISOR: u64 = 12;
/// Time between two cleanup passes, in milliseconds.
const CLEANUP_INTERVAL_MS: u64 = 1_000;

/// Event loop of the control thread and its state.
pub struct Control {
    events: mpsc::Sender<control_event::ControlEvent>,
    cache: sync::Arc<sync::Mutex<store_cache::StoreCache>>,
    members: members::Members,
    next_summary_ms: u64,
    next_report_ms: u64,
    next_cleanup_ms: u64,
    next_state_request_ms: u64,
    datagrams: sync::Arc<datagram_socket::DatagramSocket>,
    pulls: gateway::PullSchedule,
    reads: store_reads::StoreReads,
    discovery: vm_discovery::VmDiscovery,
    shared: sync::Arc<gateway::Shared>,
    slack_share: gateway::SlackShare,
    start_check: gateway::StartCheck,
    was_last_report_empty: bool,
}

impl Control {
    /// Creates the event loop of a VM that has just started, and the receiver of
    /// its events.
    #[must_use]
    pub fn new(
        shared: sync::Arc<gateway::Shared>,
        ports: &gateway::GatewayPorts,
        socket: UdpSocket,
        membership: membership::Membership,
    ) -> (Self, mpsc::Receiver<control_event::ControlEvent>) {
        let (events, receiver) = mpsc::channel(EVENT_QUEUE_CAPACITY);
        let datagrams = datagram_socket::DatagramSocket::new(sync::Arc::clone(&shared), socket);
        let datagrams = sync::Arc::new(datagrams);
        let cache = store_cache::StoreCache::new(sync::Arc::clone(&shared.clock));
        let control = Self {
            events: events.clone(),
            cache: sync::Arc::new(sync::Mutex::new(cache)),
            members: members::Members::new(
                sync::Arc::clone(&shared),
                sync::Arc::clone(&datagrams),
                membership,
            ),
            next_summary_ms: 0,
            next_report_ms: 0,
            next_cleanup_ms: 0,
            next_state_request_ms: 0,
            datagrams,
            pulls: gateway::PullSchedule::default(),
            reads: store_reads::StoreReads::new(
                sync::Arc::clone(&shared),
                ports.clone(),
                events.clone(),
            ),
            discovery: vm_discovery::VmDiscovery::new(
                sync::Arc::clone(&shared),
                ports.clone(),
                events,
            ),
            slack_share: slack_share(&shared),
            shared,
            start_check: gateway::StartCheck::default(),
            was_last_report_empty: false,
        };
        (control, receiver)
    }

    /// Returns a sender of events to this loop.
    #[must_use]
    pub fn events(&self) -> mpsc::Sender<control_event::ControlEvent> {
        self.events.clone()
    }

    /// Returns the source from which pulls by other entry VMs are served.
    #[must_use]
    pub fn state_source(&self) -> sync::Arc<dyn fleet_service::StateSource> {
        sync::Arc::new(store_cache::StoreCacheSource(sync::Arc::clone(&self.cache)))
    }

    /// Handles events, sends the messages of `outbox` and runs timers until the
    /// process ends.
    pub async fn run(
        mut self,
        mut events: mpsc::Receiver<control_event::ControlEvent>,
        mut outbox: mpsc::Receiver<gateway::FleetMessage>,
    ) {
        self.datagrams.start_receiving(self.events.clone());
        let seeds = self.shared.identity.seeds.clone();
        self.members.add_addresses(&seeds);
        self.publish();
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                Some(event) = events.recv() => self.handle(event),
                Some(message) = outbox.recv() => self.send_to_peers(&message),
                _ = ticks.tick() => self.tick(),
            }
        }
    }

    fn cache(&self) -> sync::MutexGuard<'_, store_cache::StoreCache> {
        self.cache
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn handle(&mut self, event: control_event::ControlEvent) {
        match event {
            control_event::ControlEvent::BackendsRead {
                begun_ms,
                is_full_read,
                read,
            } => self.handle_registry_read(begun_ms, is_full_read, read),
            control_event::ControlEvent::ConfigurationRead { begun_ms, read } => {
                self.handle_configuration_read(begun_ms, read);
            }
            control_event::ControlEvent::Datagram { from, message } => {
                self.handle_datagram(from, message);
            }
            control_event::ControlEvent::Leave => {
                self.members.handle(membership::MembershipEvent::Leave);
                self.publish();
            }
            control_event::ControlEvent::Pulled {
                begun_ms,
                from,
                pulled,
            } => self.handle_pulled_state(begun_ms, from, pulled),
            control_event::ControlEvent::SeedsChanged(seeds) => {
                if self.members.add_addresses(&seeds) {
                    self.publish();
                }
            }
            control_event::ControlEvent::VmsListed(listed) => self.handle_vm_list(listed),
        }
    }

    fn tick(&mut self) {
        let now_ms = self.shared.now_ms();
        self.shared.pause_detector().record_sign(now_ms);
        if self.shared.pause_detector().must_wait(now_ms) {
            self.shared.metrics.counters.add("process.state-outdated");
            self.send_summary(&self.members.state_sources());
        }
        if self.members.tick(now_ms) {
            self.publish();
        }
        health_check::start_due(&self.shared);
        let changes = self.cache().backends.tick(now_ms);
        self.apply_backend_changes(&changes, "lapse");
        let role = self.members.reader_role(now_ms);
        let has_state = {
            let cache = sync::Arc::clone(&self.cache);
            let cache = cache.lock().unwrap_or_else(sync::PoisonError::into_inner);
            self.reads.start_due(now_ms, role, &cache);
            store_cache::is_registry_known(&cache) && cache.routes().is_some()
        };
        self.publish_confirmation();
        let is_start_checked = self.shared.snapshot.load().is_start_checked;
        if !(has_state && is_start_checked) && now_ms >= self.next_state_request_ms {
            self.next_state_request_ms = now_ms + STATE_REQUEST_INTERVAL_MS;
            self.send_summary(&self.members.state_sources());
        }
        let has_no_peers = self.members.peers().is_empty();
        self.discovery.tick(now_ms, has_no_peers, role.is_reader);
        if now_ms >= self.next_summary_ms {
            self.next_summary_ms = now_ms + self.shared.config.news_interval_ms;
            let mut receivers = self.members.random_peers(1, true);
            let any_region_count = self.shared.config.news_fanout_count.saturating_sub(1);
            receivers.extend(self.members.random_peers(any_region_count, false));
            self.send_summary(&receivers);
            self.members.repeat_resources();
        }
        if now_ms >= self.next_report_ms {
            self.next_report_ms = now_ms + self.shared.config.load_report_interval_ms;
            self.send_load_report();
        }
        let usage_report = self.shared.allowances().take_report(now_ms);
        if let Some(report) = usage_report {
            self.send_to_peers(&gateway::FleetMessage::Usage(report));
        }
        if now_ms >= self.next_cleanup_ms {
            self.next_cleanup_ms = now_ms + CLEANUP_INTERVAL_MS;
            self.clean_up(now_ms);
            self.shared.log_retry_counts();
            // An increase of this VM's share of the retry slack takes effect only
            // after a delay, so the snapshot has to be renewed regularly.
            self.publish();
        }
    }

    /// Closes connections that have been idle for too long or whose server is
    /// gone, and removes expired quarantines.
    fn clean_up(&self, now_ms: u64) {
        let known: indexmap::IndexSet<u64> = {
            let cache = self.cache();
            let backends = cache.backends.backends();
            backends.map(|backend| backend.incarnation()).collect()
        };
        let connections = &self.shared.connections;
        connections.remove_expired(|incarnation| known.contains(&incarnation));
        self.shared.relay_connections.remove_expired(|_| true);
        let event = health::QuarantineEvent::Tick;
        let _ = self.shared.quarantine().handle(now_ms, event);
    }

    fn handle_registry_read(
        &mut self,
        begun_ms: u64,
        is_full_read: bool,
        read: Result<ports::FeedPage<ports::Backend>, ports::StoreError>,
    ) {
        if matches!(read, Err(ports::StoreError::Restored { .. })) {
            self.discovery.announce_again();
        }
        let has_failed = self.reads.finish_registry_read(read.as_ref().err());
        self.record_store_access(has_failed);
        let Ok(page) = read else {
            return;
        };
        let now_ms = self.shared.now_ms();
        let changes = {
            let mut cache = self.cache();
            if page.is_at_end {
                let pause_detector = self.shared.pause_detector();
                let confirmed_ms = pause_detector.read_confirmed_ms(begun_ms, now_ms);
                drop(pause_detector);
                cache.backends.confirm(now_ms, confirmed_ms);
            }
            if is_full_read {
                cache.backends.apply_newest(now_ms, page)
            } else {
                cache.backends.apply_changes(now_ms, page)
            }
        };
        self.record_outdated_rows(begun_ms, "store");
        self.apply_backend_changes(&changes, "store");
        self.record_confirmation();
        self.publish_first_registry();
    }

    /// Lets requests go on that wait after a pause if the registry was confirmed
    /// since then, and the configuration as well if it contains keys.
    fn record_confirmation(&self) {
        let confirmed_ms = {
            let cache = self.cache();
            let routes = cache.routes();
            let has_keys = routes.is_some_and(|routes| !routes.organisations.is_empty());
            let registry_ms = cache.backends.confirmed_ms();
            if has_keys {
                registry_ms.min(cache.configuration_confirmed_ms)
            } else {
                registry_ms
            }
        };
        if let Some(confirmed_ms) = confirmed_ms {
            let mut pause_detector = self.shared.pause_detector();
            pause_detector.record_confirmation(confirmed_ms);
        }
    }

    fn handle_configuration_read(
        &mut self,
        begun_ms: u64,
        read: Result<ports::FeedPage<ports::FleetConfiguration>, ports::StoreError>,
    ) {
        let has_failed = self.reads.finish_configuration_read(read.as_ref().err());
        self.record_store_access(has_failed);
        let Ok(page) = read else {
            return;
        };
        for entry in page.entries {
            let position = ports::StorePosition::from_packed(entry.offset);
            let source = format!("offset={position}");
            match entry.value {
                Ok(Some(configuration)) => self.put_in_force(configuration, &source),
                Ok(None) => {}
                Err(fault) => telemetry::Event::RecordRejected.warn(&format!(
                    "name=configuration.rejected {source} key={} fault=\"{fault}\"",
                    entry.key
                )),
            }
        }
        // Only now: before its last record, a page does not confirm the version in force.
        if page.is_at_end {
            let now_ms = self.shared.now_ms();
            let confirmed_ms = self
                .shared
                .pause_detector()
                .read_confirmed_ms(begun_ms, now_ms);
            self.cache().confirm_configuration(confirmed_ms);
            self.record_confirmation();
        }
        self.publish_confirmation();
        // Only now: peers adopt this offset together with the version in force.
        self.cache().configuration_next_offset = Some(page.next_offset);
    }

    /// Records whether a read of the store has failed. After a failure, notifies
    /// the VMs that read the store in place of this VM.
    fn record_store_access(&self, has_failed: bool) {
        let now_ms = self.shared.now_ms();
        self.cache().store_failed_ms = has_failed.then_some(now_ms);
        if has_failed {
            self.cache().backends.record_read_failure(now_ms);
            self.send_summary(&self.members.standby_readers());
        }
    }

    /// Puts a configuration in force if it is valid and newer than the one in
    /// force.
    fn put_in_force(&mut self, configuration: ports::FleetConfiguration, source: &str) {
        let version = configuration.version;
        let in_force = self.cache().configuration_version();
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
        for part in &configuration.unreadable {
            self.shared
                .metrics
                .counters
                .add("configuration.part-unreadable");
            telemetry::Event::RecordRejected.warn(&format!(
                "name=configuration.part-unreadable {source} version={version} fault=\"{part}\""
            ));
        }
        let unknown = configuration.routes.iter();
        for route in unknown.filter(|route| route.kind == ports::RequestKind::Unknown) {
            self.shared
                .metrics
                .counters
                .add("configuration.kind-unknown");
            telemetry::Event::RecordRejected.warn(&format!(
                "name=configuration.kind-unknown {source} version={version} route={} \
                 handled_as=non-idempotent",
                route.name
            ));
        }
        let routes = configuration.routes.len();
        let index = gateway::RouteIndex::build(sync::Arc::new(configuration));
        let organisations = &index.configuration.organisations;
        let allowances = organisations
            .iter()
            .filter_map(|organisation| Some((organisation.name.as_str(), organisation.allowance?)));
        let now_ms = self.shared.now_ms();
        self.shared.allowances().set_allowances(now_ms, allowances);
        self.cache().set_routes(sync::Arc::new(index));
        telemetry::Event::BundleInForce.info(&format!(
            "name=configuration.in-force {source} version={version} before={in_force} \
             routes={routes}"
        ));
        self.publish();
        self.send_urgent_summary();
    }

    fn handle_datagram(&mut self, from: net::SocketAddr, message: gateway::FleetMessage) {
        let now_ms = self.shared.now_ms();
        match message {
            gateway::FleetMessage::Evidence {
                evidence,
                incarnation,
            } => {
                self.shared.update_backend_pool(|pool| {
                    pool.record_peer_evidence(now_ms, incarnation, evidence);
                });
            }
            gateway::FleetMessage::Limit(notice) => {
                self.shared
                    .update_backend_pool(|pool| pool.apply_limit_notice(now_ms, notice));
            }
            gateway::FleetMessage::Leaving(incarnation) => {
                self.shared.update_backend_pool(|pool| {
                    pool.record_leaving(now_ms, incarnation, false);
                });
            }
            gateway::FleetMessage::Load(report) => {
                self.shared
                    .update_backend_pool(|pool| pool.apply_report(now_ms, from, &report));
                request_queues::check_after_report(&self.shared);
            }
            gateway::FleetMessage::Membership(message) => {
                let event = membership::MembershipEvent::Message { from, message };
                if self.members.handle(event) {
                    self.publish();
                }
            }
            gateway::FleetMessage::StateSummary(summary) => {
                self.handle_state_summary(now_ms, from, summary);
                self.reply_to_older_summary(now_ms, from, &summary);
            }
            gateway::FleetMessage::StateSummaryReply(summary) => {
                self.handle_state_summary(now_ms, from, summary);
            }
            gateway::FleetMessage::Usage(report) => {
                self.shared.allowances().receive(now_ms, from, &report);
            }
            gateway::FleetMessage::Quarantine(summary) => {
                let event = health::QuarantineEvent::PeerSummary(summary);
                let _ = self.shared.quarantine().handle(now_ms, event);
            }
            gateway::FleetMessage::Resources {
                resources,
                wants_reply,
            } => self.members.record_resources(from, resources, wants_reply),
        }
    }

    fn handle_vm_list(&mut self, listed: Result<Vec<net::SocketAddr>, ports::StoreError>) {
        self.discovery.finish_call(listed.is_ok());
        let decision_log = &self.shared.decision_log;
        match listed {
            Ok(addresses) => {
                decision_log.record("vms.listed", || format!("vms={}", addresses.len()));
                if self.members.add_addresses(&addresses) {
                    self.publish();
                }
            }
            Err(error) => decision_log.record("vms.list-failed", || format!("error=\"{error}\"")),
        }
    }

    /// Records that a read or a pull, begun at `begun_ms`, returned rows that were older
    /// than this VM's registry.
    fn record_outdated_rows(&self, begun_ms: u64, source: &str) {
        let (rows, revision) = {
            let mut cache = self.cache();
            let backends = &mut cache.backends;
            (backends.take_outdated_row_count(), backends.revision())
        };
        if rows == 0 {
            return;
        }
        let counters = &self.shared.metrics.counters;
        counters.add_many("registry.outdated-rows", rows);
        let took_ms = self.shared.now_ms().saturating_sub(begun_ms);
        self.shared.decision_log.record("registry.outdated", || {
            let revision = ports::StorePosition::from_packed(revision);
            format!("rows={rows} revision={revision} took_ms={took_ms} source={source}")
        });
    }

    /// Logs changes of the registry, updates the pool of backend servers and
    /// notifies other entry VMs.
    fn apply_backend_changes(&self, changes: &[gateway::BackendChange], source: &str) {
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
            let cache = self.cache();
            let mut pool = self.shared.backend_pool();
            pool.set_backends(now_ms, cache.backends.backends());
        }
        self.send_urgent_summary();
    }

    /// Publishes a snapshot if the last one was published without a complete
    /// registry.
    fn publish_first_registry(&mut self) {
        if !self.shared.snapshot.load().is_registry_known {
            self.publish();
        }
    }

    /// Publishes a snapshot of the current state to the traffic thread.
    fn publish(&mut self) {
        let now_ms = self.shared.now_ms();
        let (is_registry_known, routes, confirmed_ms, newest_known_version) = {
            let cache = self.cache();
            (
                store_cache::is_registry_known(&cache),
                cache.routes().cloned(),
                cache.configuration_confirmed_ms,
                cache.newest_known_version(),
            )
        };
        let has_downloads = routes.as_ref().is_some_and(|routes| routes.has_downloads());
        self.members.set_has_downloads(has_downloads);
        let vms = self.members.entry_vms();
        let share_milli = self.members.retry_slack_milli(&vms);
        let retry_slack_milli = self.slack_share.update(now_ms, share_milli);
        self.update_allowance_vms(now_ms, &vms);
        let is_start_checked = self.is_start_checked(now_ms);
        let snapshot = gateway::Snapshot {
            configuration_confirmed_ms: confirmed_ms,
            has_downloads,
            is_start_checked,
            newest_known_version,
            is_registry_known,
            routes,
            retry_slack_milli,
            vms: vms.into(),
        };
        self.shared.snapshot.store(sync::Arc::new(snapshot));
    }

    /// Updates the VMs that share the allowances of organisations, if there are any.
    fn update_allowance_vms(&self, now_ms: u64, vms: &[gateway::EntryVm]) {
        if !self.shared.allowances().is_active() {
            return;
        }
        let serving = self.members.advertised_peers();
        self.shared.allowances().set_vms(
            now_ms,
            &admission::ServingVms {
                idle: &self.members.idle_vms(&serving),
                is_serving: self.members.is_advertised(vms),
                member_count: vms.len(),
                serving: &serving,
            },
        );
    }

    /// Returns whether requests may be served by the keys of the configuration in force.
    fn is_start_checked(&mut self, now_ms: u64) -> bool {
        let (version, newest_known_version, has_keys) = {
            let cache = self.cache();
            let routes = cache.routes();
            (
                cache.configuration_version(),
                cache.newest_known_version(),
                routes.is_some_and(|routes| !routes.organisations.is_empty()),
            )
        };
        let is_over = self
            .start_check
            .is_over(now_ms, version, newest_known_version);
        is_over || !has_keys
    }

    /// Publishes what this VM knows of the age of its configuration if that has changed
    /// and the configuration contains keys.
    fn publish_confirmation(&mut self) {
        let published = self.shared.snapshot.load_full();
        let routes = published.routes.as_ref();
        if routes.is_none_or(|routes| routes.organisations.is_empty()) {
            return;
        }
        let is_start_checked = self.is_start_checked(self.shared.now_ms());
        let (confirmed_ms, newest_known_version) = {
            let cache = self.cache();
            (
                cache.configuration_confirmed_ms,
                cache.newest_known_version(),
            )
        };
        let is_later = confirmed_ms.is_some_and(|confirmed_ms| {
            let published_ms = published.configuration_confirmed_ms;
            published_ms.is_none_or(|ms| confirmed_ms >= ms + MIN_CONFIRMATION_STEP_MS)
        });
        if !is_later
            && newest_known_version == published.newest_known_version
            && is_start_checked == published.is_start_checked
        {
            return;
        }
        let snapshot = gateway::Snapshot {
            configuration_confirmed_ms: confirmed_ms,
            is_start_checked,
            newest_known_version,
            ..published.as_ref().clone()
        };
        self.shared.snapshot.store(sync::Arc::new(snapshot));
    }

    /// Sends this VM's load report to the region's VMs. An empty report is not
    /// sent after another empty one.
    fn send_load_report(&mut self) {
        let report = self.shared.backend_pool().take_report();
        let is_empty = report.is_empty();
        if !is_empty || !self.was_last_report_empty {
            self.send_to_peers(&gateway::FleetMessage::Load(report));
        }
        self.was_last_report_empty = is_empty;
    }

    /// Sends a message of the traffic thread to the VMs that it concerns.
    ///
    /// Summaries of requests that crash servers and servers that leave concern all VMs,
    /// limits of servers those that serve requests of any region, admitted requests of
    /// organisations those that share the allowances, and everything else those that serve this region's requests.
    fn send_to_peers(&self, message: &gateway::FleetMessage) {
        let receivers = match message {
            gateway::FleetMessage::Leaving(_) | gateway::FleetMessage::Quarantine(_) => {
                let peers = self.members.peers().iter();
                peers.map(|peer| peer.address).collect()
            }
            gateway::FleetMessage::Limit(_) => self.members.advertised_peers(),
            gateway::FleetMessage::Usage(_) => self.shared.allowances().receivers(),
            _ => self.members.advertised_region_peers(),
        };
        self.datagrams.send_to_all(message, &receivers);
    }
}

/// Returns the share of the retry slack of a VM that has just started: none if its
/// settings name other VMs, which may be restarted as well.
fn slack_share(shared: &gateway::Shared) -> gateway::SlackShare {
    let window_ms = shared.bounds.retry_window_ms;
    let own = shared.identity.peer_address;
    let has_others = shared.identity.seeds.iter().any(|seed| *seed != own);
    let first_milli = if has_others {
        0
    } else {
        shared.retry_slack_milli() / LONE_VM_SHARE_DIVISOR
    };
    gateway::SlackShare::new(shared.now_ms(), window_ms, first_milli)
}
