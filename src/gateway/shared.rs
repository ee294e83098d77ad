//! State that the threads of the gateway share.

use std::sync;
use std::sync::atomic;
use std::time;

use rand::Rng as _;
use tokio::sync::Notify;
use tokio::sync::mpsc;

use crate::admission;
use crate::configs;
use crate::context;
use crate::gateway;
use crate::health;
use crate::http1;
use crate::ports;
use crate::state_machine::StateMachine as _;
use crate::telemetry;

const MILLI: u64 = 1_000;
const PERCENT: u64 = 100;

/// State that the threads of the gateway share.
pub struct Shared {
    /// Allowances of organisations over all VMs.
    pub allowances: sync::Mutex<admission::FleetAllowances>,
    /// Load and health of the backend servers.
    pub backend_pool: sync::Mutex<gateway::BackendPool>,
    /// Limits set by the contract with the platform.
    pub bounds: gateway::GatewayBounds,
    /// Source of time.
    pub clock: sync::Arc<dyn context::Clock>,
    /// Settings of the gateway.
    pub config: configs::GatewayConfig,
    /// Idle connections to the backend servers.
    pub connections: gateway::BackendConnections,
    /// Format of entry-point queries and responses.
    pub entry_points: sync::Arc<dyn ports::EntryPointCodec>,
    /// Names of the platform's HTTP headers.
    pub headers: ports::HeaderNames,
    /// Identity and addresses of this VM.
    pub identity: gateway::Identity,
    /// Permits of requests that wait until their keys can be identified.
    pub identification_waits: tokio::sync::Semaphore,
    /// Number of requests that were read and have no final response yet.
    pub in_flight: atomic::AtomicUsize,
    /// State of the graceful shutdown of this VM.
    pub leave: gateway::LeaveState,
    /// Log of decisions, limited in its number of lines.
    pub decision_log: telemetry::DecisionLog,
    /// Memory that requests and responses take up.
    pub memory: sync::Arc<gateway::HeldMemory>,
    /// Counters and latency histograms.
    pub metrics: gateway::Metrics,
    /// Names of organisations in the names of counters.
    pub organisation_labels: sync::Mutex<gateway::OrganisationLabels>,
    /// Messages from the traffic thread to other entry VMs.
    pub outbox: mpsc::Sender<gateway::FleetMessage>,
    /// Detector of pauses of this process.
    pub pause_detector: sync::Mutex<gateway::PauseDetector>,
    /// Quarantine of requests that crash servers.
    pub quarantine: sync::Mutex<health::Quarantine>,
    /// Idle connections to other entry VMs, by the hashes of their caller addresses.
    pub relay_connections: gateway::BackendConnections,
    /// The other entry VMs, for requests that this VM cannot send to a server itself.
    pub relay_peers: sync::Mutex<gateway::RelayPeers>,
    /// Requests that wait for a free slot of a server.
    pub request_queues: gateway::RequestQueues,
    /// Retry budgets by service.
    pub retry_budgets: sync::Mutex<indexmap::IndexMap<String, gateway::RetryBudget>>,
    /// Run times of requests by route.
    pub run_times: sync::Mutex<gateway::RunTimes>,
    /// Whether this VM reaches the backend servers.
    pub server_reach: sync::Mutex<gateway::ServerReach>,
    /// Wakes the requests that wait for a server when this VM is cut off from all.
    pub servers_lost: Notify,
    /// State that the control thread last published.
    pub snapshot: arc_swap::ArcSwap<gateway::Snapshot>,
}

impl Shared {
    /// Locks and returns the allowances of organisations.
    pub fn allowances(&self) -> sync::MutexGuard<'_, admission::FleetAllowances> {
        self.allowances
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Admits a request of an organisation within its allowance, and notifies the other
    /// VMs if required.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the organisation has used up its allowance.
    pub fn admit_organisation(&self, name: &str) -> Result<(), admission::AllowanceRefusal> {
        let now_ms = self.now_ms();
        let (admission, report) = {
            let mut allowances = self.allowances();
            let admission = allowances.try_admit(now_ms, name);
            (admission, allowances.take_urgent_report(now_ms, name))
        };
        if let Some(report) = report {
            self.enqueue(gateway::FleetMessage::Usage(report));
        }
        admission
    }

    /// Counts a request of an organisation that was admitted or refused.
    pub fn count_admission(&self, name: &str, is_admitted: bool) {
        let outcome = if is_admitted { "admitted" } else { "refused" };
        let label = {
            let labels = self.organisation_labels.lock();
            let mut labels = labels.unwrap_or_else(sync::PoisonError::into_inner);
            labels.label(name)
        };
        let counters = &self.metrics.counters;
        counters.add(&format!("allowance.{outcome}.{label}"));
    }

    /// Locks and returns the pool of backend servers.
    pub fn backend_pool(&self) -> sync::MutexGuard<'_, gateway::BackendPool> {
        self.backend_pool
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Returns the time for which callers may cache an entry-point response, in seconds.
    #[must_use]
    pub fn entry_point_lifetime_s(&self) -> u64 {
        let max_s = self.bounds.entry_point_lifetime_max_s;
        self.config.entry_point_lifetime_s.min(max_s)
    }

    /// Returns the mean run time of a service's requests, in whole milliseconds.
    pub fn mean_run_ms(&self, service: &str) -> u64 {
        let mean_run_ms = self.backend_pool().mean_run_ms(service);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a run time is a small positive number"
        )]
        let mean_run_ms = mean_run_ms as u64;
        mean_run_ms
    }

    /// Updates the pool of backend servers and logs the resulting health changes.
    pub fn update_backend_pool<T>(&self, update: impl FnOnce(&mut gateway::BackendPool) -> T) -> T {
        let (result, changes) = {
            let mut pool = self.backend_pool();
            let result = update(&mut pool);
            (result, pool.take_changes())
        };
        for change in changes {
            self.metrics.counters.add(change.name());
            self.decision_log
                .record(change.name(), || change.to_string());
        }
        result
    }

    /// Returns the time of the process's clock, in milliseconds.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Returns whether this VM is shutting down.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leave.has_begun()
    }

    /// Returns whether the configuration in force has a route with large responses.
    #[must_use]
    pub fn has_downloads(&self) -> bool {
        self.snapshot.load().has_downloads
    }

    /// Returns whether this VM is ready to serve requests.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.is_leaving() && self.snapshot.load().can_serve()
    }

    /// Records the evidence on a server from a request of this VM, and notifies the
    /// other VMs of the region if required.
    pub fn record_evidence(&self, choice: &gateway::Choice, evidence: gateway::Evidence) {
        let incarnation = choice.incarnation;
        let now_ms = self.now_ms();
        let must_notify =
            self.update_backend_pool(|pool| pool.record_evidence(now_ms, incarnation, evidence));
        if must_notify {
            self.enqueue(gateway::FleetMessage::Evidence {
                evidence,
                incarnation,
            });
        }
    }

    /// Locks and returns the run times of requests by route.
    pub fn run_times(&self) -> sync::MutexGuard<'_, gateway::RunTimes> {
        self.run_times
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Locks and returns whether this VM reaches the backend servers.
    pub fn server_reach(&self) -> sync::MutexGuard<'_, gateway::ServerReach> {
        self.server_reach
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Locks and returns the other entry VMs.
    pub fn relay_peers(&self) -> sync::MutexGuard<'_, gateway::RelayPeers> {
        self.relay_peers
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Records that a server has responded.
    pub fn record_server_response(&self) {
        let now_ms = self.now_ms();
        let was_cut_off = if self.has_downloads() {
            self.server_reach().record_bytes(now_ms)
        } else {
            self.server_reach().record_response(now_ms)
        };
        if was_cut_off {
            // The other ends of these connections may be gone since the interruption.
            self.connections.clear();
            self.backend_pool().clear_unreachable();
            self.metrics.counters.add("servers.regained");
            self.decision_log.record("servers.regained", String::new);
        }
    }

    /// Records that no connection to a server could be opened, or that it did not respond
    /// to a health check.
    pub fn record_server_miss(&self, incarnation: u64) {
        let now_ms = self.now_ms();
        let is_cut_off = self.server_reach().record_miss(now_ms, incarnation);
        if is_cut_off {
            self.servers_lost.notify_waiters();
            self.metrics.counters.add("servers.lost");
            self.decision_log.record("servers.lost", String::new);
        }
    }

    /// Returns the timeouts of a connection to a server or another VM, which must be
    /// established within `time_left`.
    #[must_use]
    pub fn socket_options(
        &self,
        is_same_region: bool,
        time_left: time::Duration,
    ) -> http1::SocketOptions {
        let config = &self.config;
        let connect_timeout_ms = if is_same_region {
            config.connect_timeout_near_ms
        } else {
            config.connect_timeout_far_ms
        };
        http1::SocketOptions {
            connect_timeout: time::Duration::from_millis(connect_timeout_ms).min(time_left),
            keepalive: time::Duration::from_millis(config.keepalive_ms),
            unacknowledged_timeout: time::Duration::from_millis(config.unacknowledged_timeout_ms),
        }
    }

    /// Records that a server leaves, as it says in a response, and notifies the other
    /// VMs.
    pub fn record_leaving(&self, incarnation: u64) {
        let now_ms = self.now_ms();
        let is_news =
            self.update_backend_pool(|pool| pool.record_leaving(now_ms, incarnation, true));
        if is_news {
            self.enqueue(gateway::FleetMessage::Leaving(incarnation));
        }
    }

    /// Records that a server wants no request of this VM for some time.
    pub fn record_rest(&self, incarnation: u64, rest_ms: u64) {
        let now_ms = self.now_ms();
        let random_value = self.random_value();
        self.update_backend_pool(|pool| {
            pool.record_rest(now_ms, incarnation, rest_ms, random_value);
        });
    }

    /// Records the limit that a server names in the response to a request sent at
    /// `sent_ms`, or that it names none, and notifies the other VMs of a change.
    pub fn record_named_limit(
        &self,
        choice: &gateway::Choice,
        sent_ms: u64,
        limit_per_s: Option<f64>,
    ) {
        let now_ms = self.now_ms();
        let notice = self.update_backend_pool(|pool| {
            pool.record_named_limit(now_ms, choice.incarnation, sent_ms, limit_per_s)
        });
        if let Some(notice) = notice {
            self.enqueue(gateway::FleetMessage::Limit(notice));
        }
    }

    /// Notifies the other VMs of a request that counts towards the limit of its server.
    pub fn announce_limited_request(&self, choice: &gateway::Choice) {
        if let Some(notice) = choice.limit_notice {
            self.enqueue(gateway::FleetMessage::Limit(notice));
        }
    }

    /// Records that a server died while it ran a request, and sends the quarantine's
    /// summary to the other VMs if it has one.
    pub fn record_server_death(&self, fingerprint: u64, ran_ms: u64, server_id: &str) {
        let event = health::QuarantineEvent::ServerCrashed {
            fingerprint,
            ran_ms,
            server_id: server_id.to_owned(),
        };
        let actions = self.quarantine().handle(self.now_ms(), event);
        for action in actions {
            if let health::QuarantineAction::SendSummary { summary } = action {
                self.enqueue(gateway::FleetMessage::Quarantine(summary));
            }
        }
    }

    /// Returns whether requests with this fingerprint are quarantined because they
    /// crash servers. A request without a fingerprint never is.
    #[must_use]
    pub fn is_quarantined(&self, fingerprint: Option<u64>) -> bool {
        let now_ms = self.now_ms();
        let quarantine = self.quarantine();
        fingerprint.is_some_and(|fingerprint| quarantine.is_quarantined(now_ms, fingerprint))
    }

    /// Locks and returns the quarantine.
    pub fn quarantine(&self) -> sync::MutexGuard<'_, health::Quarantine> {
        self.quarantine
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Locks and returns the detector of pauses of this process.
    pub fn pause_detector(&self) -> sync::MutexGuard<'_, gateway::PauseDetector> {
        self.pause_detector
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Counts a request in the retry budget of its service.
    pub fn record_request(&self, service: &str) {
        let now_ms = self.now_ms();
        self.with_retry_budget(service, |budget| budget.record_request(now_ms));
    }

    /// Counts an attempt that is sent to a server of `service`.
    pub fn record_arrival(&self, service: &str) {
        self.with_retry_budget(service, gateway::RetryBudget::record_arrival);
    }

    /// Takes back an attempt of which no byte was sent after all.
    pub fn take_back_arrival(&self, service: &str) {
        self.with_retry_budget(service, gateway::RetryBudget::take_back_arrival);
    }

    /// Logs the requests and retries of each service that had retries since the last
    /// call.
    pub fn log_retry_counts(&self) {
        let slack_milli = self.snapshot.load().retry_slack_milli;
        for (service, budget) in &mut *self.lock_retry_budgets() {
            let Some(counts) = budget.take_new_counts() else {
                continue;
            };
            telemetry::Event::RetryCounts.info(&format!(
                "name=retry.counts service={service} requests={} arrivals={} retries={} \
                 denied={} slack_milli={slack_milli}",
                counts.requests_count,
                counts.arrivals_count,
                counts.retries_count,
                counts.denied_count,
            ));
        }
    }

    /// Charges a retry to a service's budget. Returns whether the budget allows it.
    #[must_use]
    pub fn try_retry(&self, service: &str) -> bool {
        let now_ms = self.now_ms();
        let slack_milli = self.snapshot.load().retry_slack_milli;
        self.with_retry_budget(service, |budget| budget.try_retry(now_ms, slack_milli))
    }

    /// Returns the retry slack that all VMs of the fleet share, in thousandths of a
    /// retry.
    #[must_use]
    pub const fn retry_slack_milli(&self) -> u64 {
        let slack_milli = self.bounds.retry_slack_count * MILLI;
        slack_milli * self.config.retry_slack_percent / PERCENT
    }

    /// Returns a random value in `0.0..1.0`.
    #[must_use]
    pub fn random_value(&self) -> f64 {
        rand::rng().random()
    }

    fn enqueue(&self, message: gateway::FleetMessage) {
        if self.outbox.try_send(message).is_err() {
            self.metrics.counters.add("fleet.outbox-full");
        }
    }

    fn with_retry_budget<T>(
        &self,
        service: &str,
        update: impl FnOnce(&mut gateway::RetryBudget) -> T,
    ) -> T {
        let mut budgets = self.lock_retry_budgets();
        if !budgets.contains_key(service) {
            let bounds = &self.bounds;
            let budget =
                gateway::RetryBudget::new(bounds.retry_window_ms, bounds.retry_ratio_permille);
            budgets.insert(service.to_owned(), budget);
        }
        update(&mut budgets[service])
    }

    fn lock_retry_budgets(
        &self,
    ) -> sync::MutexGuard<'_, indexmap::IndexMap<String, gateway::RetryBudget>> {
        self.retry_budgets
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
