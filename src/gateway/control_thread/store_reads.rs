//! Reads of the registry and the configuration from the platform's store.

use std::sync;
use std::time;

use rand::Rng as _;
use tokio::sync::mpsc;

use crate::gateway;
use crate::gateway::control_thread::control_event;
use crate::gateway::control_thread::store_cache;
use crate::ports;
use crate::telemetry;

/// Upper bound of the random delay, in milliseconds, by which VMs that are not
/// readers wait for the readers' updates before they read the store themselves.
const MAX_JITTER_MS: u64 = 120;
/// Pause before a page of a full read is read again after a failure.
const PAGE_RETRY_PAUSE: time::Duration = time::Duration::from_millis(150);

/// Scheduler of the reads of the platform's store.
pub struct StoreReads {
    backends: FeedReads,
    configuration: FeedReads,
    events: mpsc::Sender<control_event::ControlEvent>,
    ports: gateway::GatewayPorts,
    shared: sync::Arc<gateway::Shared>,
}

/// State of the reads of one feed.
struct FeedReads {
    name: &'static str,
    needs_full_read: bool,
    schedule: gateway::ReadSchedule,
}

impl FeedReads {
    const fn new(name: &'static str, schedule: gateway::ReadSchedule) -> Self {
        Self {
            name,
            needs_full_read: true,
            schedule,
        }
    }

    /// Records that a read has begun. Returns the offset to read from, or `None` if
    /// the newest record of each key has to be read.
    const fn begin_read(&mut self, next_offset: Option<u64>) -> Option<u64> {
        self.schedule.begin_read();
        if self.needs_full_read {
            return None;
        }
        next_offset
    }

    /// Records the result of a read. Returns `true` if the store failed.
    ///
    /// [`ports::StoreError::HistoryGone`] and [`ports::StoreError::Restored`] do not
    /// count as failures of the store. The next read is then a full one.
    fn finish_read(
        &mut self,
        now_ms: u64,
        shared: &gateway::Shared,
        error: Option<&ports::StoreError>,
    ) -> bool {
        let has_failed = match error {
            None => {
                self.needs_full_read = false;
                false
            }
            Some(ports::StoreError::HistoryGone { first_offset }) => {
                self.needs_full_read = true;
                shared.decision_log.record("store.history-gone", || {
                    format!("feed={} first_offset={first_offset}", self.name)
                });
                false
            }
            Some(ports::StoreError::Restored { era }) => {
                self.needs_full_read = true;
                shared.metrics.counters.add("store.restored");
                shared
                    .decision_log
                    .record("store.restored", || format!("feed={} era={era}", self.name));
                false
            }
            Some(_) => {
                shared.metrics.counters.add("store.read-failed");
                true
            }
        };
        let feed = self.name;
        if self.schedule.end_read(now_ms, !has_failed) {
            if let Some(error) = error.filter(|_| has_failed) {
                shared.metrics.counters.add("store.lost");
                telemetry::Event::LogUnavailable
                    .warn(&format!("name=store.lost feed={feed} error=\"{error}\""));
            } else {
                shared.metrics.counters.add("store.regained");
                telemetry::Event::LogAvailable.info(&format!("name=store.regained feed={feed}"));
            }
        }
        has_failed
    }
}

impl StoreReads {
    /// Creates a scheduler that has made no read.
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

    /// Starts the reads that are due. Their results arrive as control events.
    pub fn start_due(
        &mut self,
        now_ms: u64,
        role: gateway::ReaderRole,
        cache: &store_cache::StoreCache,
    ) {
        let confirmed_ms = cache.backends.confirmed_ms();
        if self.backends.schedule.is_due(now_ms, role, confirmed_ms) {
            let from = cache.backends.next_offset();
            let from = self.backends.begin_read(from);
            self.record_standby_read(now_ms, &self.backends, role, confirmed_ms, from);
            self.start_registry_read(from);
        }
        let confirmed_ms = cache.configuration_confirmed_ms;
        if self
            .configuration
            .schedule
            .is_due(now_ms, role, confirmed_ms)
        {
            let from = cache.configuration_next_offset;
            let from = self.configuration.begin_read(from);
            self.record_standby_read(now_ms, &self.configuration, role, confirmed_ms, from);
            self.start_configuration_read(from);
        }
    }

    /// Records a read by a VM that normally gets the state from its peers.
    fn record_standby_read(
        &self,
        now_ms: u64,
        feed: &FeedReads,
        role: gateway::ReaderRole,
        confirmed_ms: Option<u64>,
        from: Option<u64>,
    ) {
        if role.is_reader {
            return;
        }
        self.shared.metrics.counters.add("store.standby-read");
        self.shared.decision_log.record("store.standby-read", || {
            let age_ms = confirmed_ms.map(|confirmed_ms| now_ms.saturating_sub(confirmed_ms));
            format!(
                "feed={} from={} state_age_ms={}",
                feed.name,
                or_none(from),
                or_none(age_ms)
            )
        });
    }

    /// Records that a peer has a registry that this VM lacks altogether.
    ///
    /// A registry that is merely behind is read from the store without a wait for the
    /// peer: the changes are small, and servers may have left.
    pub const fn record_registry_source(&mut self, now_ms: u64) {
        self.backends.schedule.record_source(now_ms);
    }

    /// Records that a peer has, or has heard of, a newer configuration than this VM's.
    pub const fn record_configuration_source(&mut self, now_ms: u64) {
        self.configuration.schedule.record_source(now_ms);
    }

    /// Records that the complete registry was pulled from a peer, so that the
    /// next read starts at an offset.
    pub const fn mark_registry_complete(&mut self) {
        self.backends.needs_full_read = false;
    }

    /// Records that the offset of the configuration's next change was pulled from a
    /// peer, so that the next read starts there.
    pub const fn mark_configuration_known(&mut self) {
        self.configuration.needs_full_read = false;
    }

    /// Records the result of a read of the registry. Returns `true` if the store
    /// failed.
    pub fn finish_registry_read(&mut self, error: Option<&ports::StoreError>) -> bool {
        self.backends
            .finish_read(self.shared.now_ms(), &self.shared, error)
    }

    /// Records the result of a read of the configuration. Returns `true` if the
    /// store failed.
    pub fn finish_configuration_read(&mut self, error: Option<&ports::StoreError>) -> bool {
        self.configuration
            .finish_read(self.shared.now_ms(), &self.shared, error)
    }

    fn start_registry_read(&self, from: Option<u64>) {
        let feed = sync::Arc::clone(&self.ports.backends);
        let wait = self.shared.config.store_wait();
        let timeout = self.shared.config.store_transfer_timeout();
        let events = self.events.clone();
        let begun_ms = self.shared.now_ms();
        self.shared.metrics.counters.add("store.registry-read");
        tokio::spawn(async move {
            let read = read(feed.as_ref(), from, wait, timeout).await;
            let is_full_read = from.is_none();
            let event = control_event::ControlEvent::BackendsRead {
                begun_ms,
                is_full_read,
                read,
            };
            let _ = events.send(event).await;
        });
    }

    fn start_configuration_read(&self, from: Option<u64>) {
        let feed = sync::Arc::clone(&self.ports.configuration);
        let wait = self.shared.config.store_wait();
        let timeout = self.shared.config.store_transfer_timeout();
        let events = self.events.clone();
        let begun_ms = self.shared.now_ms();
        self.shared.metrics.counters.add("store.configuration-read");
        tokio::spawn(async move {
            let read = read(feed.as_ref(), from, wait, timeout).await;
            let event = control_event::ControlEvent::ConfigurationRead { begun_ms, read };
            let _ = events.send(event).await;
        });
    }
}

fn or_none(number: Option<u64>) -> String {
    number.map_or_else(|| "none".to_owned(), |number| number.to_string())
}

/// Reads the changes since `from`, waiting up to `wait` for the first one, or the
/// newest record of each key if `from` is `None`. Each call to the store takes at
/// most `timeout`, not counting its wait.
async fn read<T>(
    feed: &dyn ports::ChangeFeed<T>,
    from: Option<u64>,
    wait: time::Duration,
    timeout: time::Duration,
) -> Result<ports::FeedPage<T>, ports::StoreError> {
    match from {
        Some(from) => with_timeout(timeout + wait, feed.changes(from, wait)).await,
        None => read_newest(feed, timeout).await,
    }
}

async fn read_newest<T>(
    feed: &dyn ports::ChangeFeed<T>,
    timeout: time::Duration,
) -> Result<ports::FeedPage<T>, ports::StoreError> {
    let mut full_read = gateway::FullRead::default();
    loop {
        match with_timeout(timeout, feed.newest(full_read.after_key())).await {
            Ok(page) => {
                if let Some(complete) = full_read.add_page(page)? {
                    return Ok(complete);
                }
            }
            Err(error) if full_read.record_failure(&error) => {
                tokio::time::sleep(PAGE_RETRY_PAUSE).await;
            }
            Err(error) => return Err(error),
        }
    }
}

/// Awaits a call to the store for at most `timeout`. A call that times out is
/// dropped together with its connection.
///
/// # Errors
///
/// Returns the call's error, or [`ports::StoreError::NoResponse`] on a timeout.
pub async fn with_timeout<T>(
    timeout: time::Duration,
    call: impl Future<Output = Result<T, ports::StoreError>>,
) -> Result<T, ports::StoreError> {
    let result = tokio::time::timeout(timeout, call).await;
    result.unwrap_or_else(|_| {
        Err(ports::StoreError::NoResponse {
            detail: format!("call timed out after {} ms", timeout.as_millis()),
        })
    })
}
