//! Reads of the platform's store.

use std::sync;
use std::time;

use rand::Rng as _;
use tokio::sync::mpsc;

use crate::gateway;
use crate::gateway::control_thread::control_event;
use crate::gateway::control_thread::knowledge;
use crate::ports;
use crate::telemetry;

/// Longest time by which VMs that are no readers wait for the readers' news
/// before they read the store, in milliseconds.
const MAX_JITTER_MS: u64 = 120;

/// Reads of the platform's store: when they are made, and how they ended.
pub struct StoreReads {
    backends: FeedReads,
    configuration: FeedReads,
    events: mpsc::Sender<control_event::ControlEvent>,
    ports: gateway::GatewayPorts,
    shared: sync::Arc<gateway::Shared>,
}

/// Reads of one feed.
struct FeedReads {
    name: &'static str,
    needs_newest: bool,
    schedule: gateway::ReadSchedule,
}

impl FeedReads {
    const fn new(name: &'static str, schedule: gateway::ReadSchedule) -> Self {
        Self {
            name,
            needs_newest: true,
            schedule,
        }
    }

    /// Notes how a read ended. Gives whether the store failed to answer.
    fn end(
        &mut self,
        now_ms: u64,
        shared: &gateway::Shared,
        error: Option<&ports::StoreError>,
    ) -> bool {
        let fails = match error {
            None => {
                self.needs_newest = false;
                false
            }
            Some(ports::StoreError::HistoryGone { first_offset }) => {
                self.needs_newest = true;
                shared.decision_log.record("store.history-gone", || {
                    format!("feed={} first_offset={first_offset}", self.name)
                });
                false
            }
            Some(_) => {
                shared.metrics.counters.add("store.read-failed");
                true
            }
        };
        let feed = self.name;
        if self.schedule.end(now_ms, !fails) {
            if let Some(error) = error.filter(|_| fails) {
                shared.metrics.counters.add("store.lost");
                telemetry::Event::LogUnavailable
                    .warn(&format!("name=store.lost feed={feed} error=\"{error}\""));
            } else {
                shared.metrics.counters.add("store.regained");
                telemetry::Event::LogAvailable.info(&format!("name=store.regained feed={feed}"));
            }
        }
        fails
    }
}

impl StoreReads {
    /// Has read nothing yet.
    pub fn new(
        shared: sync::Arc<gateway::Shared>,
        ports: gateway::GatewayPorts,
        events: mpsc::Sender<control_event::ControlEvent>,
    ) -> Self {
        let jitter_ms = rand::rng().random_range(0..MAX_JITTER_MS);
        let config = &shared.config;
        let interval_ms = config.store_read_interval_ms;
        let schedule = gateway::ReadSchedule::new(interval_ms, config.store_stale_ms, jitter_ms);
        Self {
            backends: FeedReads::new("registry", schedule),
            configuration: FeedReads::new("configuration", schedule),
            events,
            ports,
            shared,
        }
    }

    /// Starts the reads that are due.
    pub fn start_due(&mut self, now_ms: u64, is_reader: bool, knowledge: &knowledge::Knowledge) {
        let confirmed_ms = knowledge.backends.confirmed_ms();
        if self
            .backends
            .schedule
            .is_due(now_ms, is_reader, confirmed_ms)
        {
            self.backends.schedule.begin();
            let from = knowledge.backends.next_offset();
            self.read_backends(from.filter(|_| !self.backends.needs_newest));
        }
        let confirmed_ms = knowledge.configuration_confirmed_ms;
        if self
            .configuration
            .schedule
            .is_due(now_ms, is_reader, confirmed_ms)
        {
            self.configuration.schedule.begin();
            let from = knowledge.configuration_next_offset;
            self.read_configuration(from.filter(|_| !self.configuration.needs_newest));
        }
    }

    /// Notes that the registry is known as a whole from a peer.
    pub const fn note_backends_known(&mut self) {
        self.backends.needs_newest = false;
    }

    /// Notes how a read of the registry ended. Gives whether the store failed.
    pub fn end_backends(&mut self, error: Option<&ports::StoreError>) -> bool {
        self.backends.end(self.shared.now_ms(), &self.shared, error)
    }

    /// Notes how a read of the configuration ended. Gives whether the store
    /// failed.
    pub fn end_configuration(&mut self, error: Option<&ports::StoreError>) -> bool {
        self.configuration
            .end(self.shared.now_ms(), &self.shared, error)
    }

    fn read_backends(&self, from: Option<u64>) {
        let feed = sync::Arc::clone(&self.ports.backends);
        let wait = self.shared.config.store_wait();
        let timeout = self.shared.config.store_call_timeout();
        let events = self.events.clone();
        self.shared.metrics.counters.add("store.registry-read");
        tokio::spawn(async move {
            let read = within(timeout + wait, read(feed.as_ref(), from, wait)).await;
            let is_newest = from.is_none();
            let event = control_event::ControlEvent::BackendsRead { is_newest, read };
            let _ = events.send(event).await;
        });
    }

    fn read_configuration(&self, from: Option<u64>) {
        let feed = sync::Arc::clone(&self.ports.configuration);
        let wait = self.shared.config.store_wait();
        let timeout = self.shared.config.store_call_timeout();
        let events = self.events.clone();
        self.shared.metrics.counters.add("store.configuration-read");
        tokio::spawn(async move {
            let read = within(timeout + wait, read(feed.as_ref(), from, wait)).await;
            let event = control_event::ControlEvent::ConfigurationRead { read };
            let _ = events.send(event).await;
        });
    }
}

async fn read<T>(
    feed: &dyn ports::ChangeFeed<T>,
    from: Option<u64>,
    wait: time::Duration,
) -> Result<ports::FeedPage<T>, ports::StoreError> {
    match from {
        Some(from) => feed.changes(from, wait).await,
        None => feed.newest().await,
    }
}

/// Bounds a call to the store. A call that is given up is dropped with its
/// connection.
///
/// # Errors
///
/// Gives the call's error, or that no answer came in time.
pub async fn within<T>(
    timeout: time::Duration,
    call: impl Future<Output = Result<T, ports::StoreError>>,
) -> Result<T, ports::StoreError> {
    let answered = tokio::time::timeout(timeout, call).await;
    answered.unwrap_or_else(|_| {
        Err(ports::StoreError::NoResponse {
            detail: format!("no answer within {} ms", timeout.as_millis()),
        })
    })
}
