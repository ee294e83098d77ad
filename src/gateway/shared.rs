//! What the threads of the gateway share.

use std::sync;
use std::sync::atomic;

use rand::Rng as _;
use tokio::sync::mpsc;

use crate::configs;
use crate::context;
use crate::gateway;
use crate::health;
use crate::ports;
use crate::state_machine::StateMachine as _;
use crate::telemetry;

/// Thousandths in one.
const MILLI: u64 = 1_000;
/// Hundredths in one.
const PERCENT: u64 = 100;

/// What the threads of the gateway share.
pub struct Shared {
    /// Load and health of the servers.
    pub backend_pool: sync::Mutex<gateway::BackendPool>,
    /// Bounds of the platform's contract.
    pub bounds: gateway::GatewayBounds,
    /// Source of time.
    pub clock: sync::Arc<dyn context::Clock>,
    /// Settings.
    pub config: configs::GatewayConfig,
    /// Connections to the servers.
    pub connections: gateway::BackendConnections,
    /// How callers ask for addresses.
    pub entry_points: sync::Arc<dyn ports::EntryPointDialect>,
    /// How headers are spelled.
    pub headers: ports::HeaderDialect,
    /// Who this VM is.
    pub identity: gateway::Identity,
    /// Requests that were read and have no final answer yet.
    pub in_flight: atomic::AtomicUsize,
    /// Whether this VM leaves.
    pub is_leaving: atomic::AtomicBool,
    /// Lines for the log, bounded in number.
    pub journal: telemetry::Journal,
    /// Counters and histograms.
    pub metrics: gateway::Metrics,
    /// Messages that the traffic thread wants the region's VMs to have.
    pub outbox: mpsc::Sender<gateway::FleetMessage>,
    /// Requests that crash servers.
    pub quarantine: sync::Mutex<health::Quarantine>,
    /// Second attempts, by service.
    pub retry_budgets: sync::Mutex<indexmap::IndexMap<String, gateway::RetryBudget>>,
    /// What the control thread has last published.
    pub snapshot: arc_swap::ArcSwap<gateway::Snapshot>,
}

impl Shared {
    /// Locks the pool.
    pub fn backend_pool(&self) -> sync::MutexGuard<'_, gateway::BackendPool> {
        self.backend_pool
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Uses the pool, and logs what that changes in what this VM believes.
    pub fn update_backend_pool<T>(&self, update: impl FnOnce(&mut gateway::BackendPool) -> T) -> T {
        let (result, changes) = {
            let mut pool = self.backend_pool();
            let result = update(&mut pool);
            (result, pool.take_changes())
        };
        for change in changes {
            self.metrics.counters.add(change.name());
            self.journal.decision(change.name(), || change.to_string());
        }
        result
    }

    /// Gives milliseconds of the process's clock.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Tells whether this VM leaves.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(atomic::Ordering::Relaxed)
    }

    /// Tells whether this VM takes requests.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.is_leaving() && self.snapshot.load().is_complete()
    }

    /// Notes what a request says of its server, here and on the region's VMs.
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

    /// Notes that a server died while it ran a request.
    pub fn record_server_death(&self, fingerprint: u64, ran_ms: u64, server_id: &str) {
        let event = health::QuarantineEvent::ServerDied {
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

    /// Tells whether requests like this one crash servers.
    #[must_use]
    pub fn is_quarantined(&self, fingerprint: Option<u64>) -> bool {
        let now_ms = self.now_ms();
        let quarantine = self.quarantine();
        fingerprint.is_some_and(|fingerprint| quarantine.is_quarantined(now_ms, fingerprint))
    }

    /// Locks the quarantine.
    pub fn quarantine(&self) -> sync::MutexGuard<'_, health::Quarantine> {
        self.quarantine
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Counts the first attempt of a request for a service.
    pub fn record_request(&self, service: &str) {
        let now_ms = self.now_ms();
        self.with_retry_budget(service, |budget| budget.record_request(now_ms));
    }

    /// Takes a second attempt out of a service's budget, if it has room.
    #[must_use]
    pub fn try_retry(&self, service: &str) -> bool {
        let now_ms = self.now_ms();
        let slack_milli = self.snapshot.load().retry_slack_milli;
        self.with_retry_budget(service, |budget| budget.try_retry(now_ms, slack_milli))
    }

    /// Gives the slack of second attempts that all VMs share, in thousandths of a
    /// retry.
    #[must_use]
    pub const fn retry_slack_milli(&self) -> u64 {
        let slack_milli = self.bounds.retry_slack_count * MILLI;
        slack_milli * self.config.retry_slack_percent / PERCENT
    }

    /// Gives a random number in `0.0..1.0`.
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
        let mut budgets = self
            .retry_budgets
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        if !budgets.contains_key(service) {
            let bounds = &self.bounds;
            let budget =
                gateway::RetryBudget::new(bounds.retry_window_ms, bounds.retry_ratio_permille);
            budgets.insert(service.to_owned(), budget);
        }
        update(&mut budgets[service])
    }
}
