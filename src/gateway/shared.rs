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
    pub board: sync::Mutex<gateway::BackendBoard>,
    /// Bounds of the platform's contract.
    pub bounds: gateway::GatewayBounds,
    /// Source of time.
    pub clock: sync::Arc<dyn context::Clock>,
    /// Settings.
    pub config: configs::GatewayConfig,
    /// Connections to the servers.
    pub connections: gateway::BackendConnections,
    /// How callers ask for addresses.
    pub entry_points: sync::Arc<dyn ports::EntryPointCodec>,
    /// How headers are spelled.
    pub headers: ports::HeaderNames,
    /// Who this VM is.
    pub identity: gateway::Identity,
    /// Requests that were read and have no final answer yet.
    pub in_flight: atomic::AtomicUsize,
    /// Whether this VM leaves.
    pub is_leaving: atomic::AtomicBool,
    /// Lines for the log, bounded in number.
    pub decision_log: telemetry::DecisionLog,
    /// Counters and histograms.
    pub metrics: gateway::Metrics,
    /// Messages that the traffic thread wants the region's VMs to have.
    pub outbox: mpsc::Sender<gateway::FleetMessage>,
    /// Requests that crash servers.
    pub quarantine: sync::Mutex<health::Quarantine>,
    /// Second attempts, by service.
    pub retries: sync::Mutex<indexmap::IndexMap<String, gateway::RetryLedger>>,
    /// What the control thread has last published.
    pub snapshot: arc_swap::ArcSwap<gateway::Snapshot>,
}

impl Shared {
    /// Locks the board.
    pub fn board(&self) -> sync::MutexGuard<'_, gateway::BackendBoard> {
        self.board
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Uses the board, and logs what that changes in what this VM believes.
    pub fn update_board<T>(&self, use_it: impl FnOnce(&mut gateway::BackendBoard) -> T) -> T {
        let (result, changes) = {
            let mut board = self.board();
            let result = use_it(&mut board);
            (result, board.take_changes())
        };
        for change in changes {
            self.metrics.counters.add(change.name());
            self.decision_log
                .record(change.name(), || change.to_string());
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
    pub fn note_evidence(&self, choice: &gateway::Choice, evidence: gateway::Evidence) {
        let lifetime = choice.lifetime;
        let now_ms = self.now_ms();
        let is_news = self.update_board(|board| board.note_evidence(now_ms, lifetime, evidence));
        if is_news {
            self.tell(gateway::FleetMessage::Evidence { evidence, lifetime });
        }
    }

    /// Notes that a server died while it ran a request.
    pub fn note_death(&self, fingerprint: u64, ran_ms: u64, server_id: &str) {
        let event = health::QuarantineEvent::ServerCrashed {
            fingerprint,
            ran_ms,
            server_id: server_id.to_owned(),
        };
        let actions = self.quarantine().handle(self.now_ms(), event);
        for action in actions {
            if let health::QuarantineAction::SendSummary { summary } = action {
                self.tell(gateway::FleetMessage::Quarantine(summary));
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
    pub fn note_request(&self, service: &str) {
        let now_ms = self.now_ms();
        self.with_ledger(service, |ledger| ledger.note_request(now_ms));
    }

    /// Takes a second attempt out of a service's budget, if it has room.
    #[must_use]
    pub fn try_retry(&self, service: &str) -> bool {
        let now_ms = self.now_ms();
        let slack_milli = self.snapshot.load().retry_slack_milli;
        self.with_ledger(service, |ledger| ledger.try_retry(now_ms, slack_milli))
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
    pub fn draw(&self) -> f64 {
        rand::rng().random()
    }

    fn tell(&self, message: gateway::FleetMessage) {
        if self.outbox.try_send(message).is_err() {
            self.metrics.counters.add("fleet.outbox-full");
        }
    }

    fn with_ledger<T>(
        &self,
        service: &str,
        use_it: impl FnOnce(&mut gateway::RetryLedger) -> T,
    ) -> T {
        let mut ledgers = self
            .retries
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        if !ledgers.contains_key(service) {
            let bounds = &self.bounds;
            let ledger =
                gateway::RetryLedger::new(bounds.retry_window_ms, bounds.retry_ratio_permille);
            ledgers.insert(service.to_owned(), ledger);
        }
        use_it(&mut ledgers[service])
    }
}
