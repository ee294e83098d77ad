//! Run of many requests.

use std::{
    fs,
    io::Write as _,
    net,
    sync::{self, atomic},
    time,
};

use foxtailwinch::{context, context::Clock as _};
use snafu::ResultExt as _;

use crate::{caller, http_io, locking};

/// Delay before entry points are queried again.
const ENTRY_POINT_RETRY_DELAY: time::Duration = time::Duration::from_millis(100);

/// Run of many requests.
pub struct CallerRun {
    clock: context::SystemClock,
    entry_points: tokio::sync::Mutex<caller::EntryPoints>,
    history: Option<sync::Mutex<fs::File>>,
    next_request: atomic::AtomicU64,
    report: sync::Mutex<caller::Report>,
    settings: caller::Settings,
    transport: caller::Transport,
}

impl CallerRun {
    /// Creates a run without sending a request.
    ///
    /// # Errors
    ///
    /// Returns an error if the history file or the HTTP client cannot be
    /// created.
    pub fn new(settings: caller::Settings) -> Result<Self, caller::CallerError> {
        let history = settings.history_path.as_ref().map(fs::File::create);
        Ok(Self {
            clock: context::SystemClock::new(),
            entry_points: tokio::sync::Mutex::default(),
            history: history
                .transpose()
                .context(caller::caller_error::HistorySnafu)?
                .map(sync::Mutex::new),
            next_request: atomic::AtomicU64::new(0),
            report: sync::Mutex::new(caller::Report::new()?),
            settings,
            transport: caller::Transport::new()?,
        })
    }

    /// Sends all requests and returns the report.
    pub async fn run(self) -> caller::Report {
        let started = time::Instant::now();
        let run = sync::Arc::new(self);
        let workers = (0..run.settings.concurrency).map(|_| {
            let run = sync::Arc::clone(&run);
            tokio::spawn(async move { run.run_worker(started).await })
        });
        futures::future::join_all(workers).await;
        let mut report = locking::lock(&run.report).clone();
        report.elapsed = started.elapsed();
        report
    }

    async fn run_worker(&self, started: time::Instant) {
        loop {
            let index = self.next_request.fetch_add(1, atomic::Ordering::SeqCst);
            if index >= self.settings.request_count {
                return;
            }
            let due = self.due_time(started, index);
            http_io::pause(due.saturating_duration_since(time::Instant::now())).await;
            self.send_request(index, due).await;
        }
    }

    /// Returns the time at which a request is due. Its latency is counted from
    /// this time, even if no worker is free then, so that a stall of the fleet
    /// is measured in full (no coordinated omission).
    fn due_time(&self, started: time::Instant, index: u64) -> time::Instant {
        if self.settings.rate_per_s <= 0.0 {
            return time::Instant::now();
        }
        let index = u32::try_from(index).unwrap_or(u32::MAX);
        let after_s = f64::from(index) / self.settings.rate_per_s;
        started + time::Duration::try_from_secs_f64(after_s).unwrap_or_default()
    }

    async fn send_request(&self, index: u64, due: time::Instant) {
        let content = caller::RequestBody::new(
            self.settings.seed.wrapping_add(index),
            self.settings.body_bytes,
        );
        let rules = caller::ResendRules {
            attempt_limit: self.settings.attempt_limit,
            idempotent: self.settings.method.is_idempotent(),
            keyed: self.settings.keyed,
        };
        let name = format!("{}-{index}", self.settings.run_id);
        let mut progress = caller::RequestProgress::new(name, rules);
        loop {
            let attempt = progress.attempt();
            let (address, outcome) = self.send_attempt(index, &content, &mut progress).await;
            let Some(wait_ms) = progress.advance(address, &outcome) else {
                locking::lock(&self.report).count_request(attempt, &outcome, due.elapsed());
                return;
            };
            http_io::pause(time::Duration::from_millis(wait_ms)).await;
        }
    }

    async fn send_attempt(
        &self,
        index: u64,
        content: &caller::RequestBody,
        progress: &mut caller::RequestProgress,
    ) -> (Option<net::SocketAddr>, caller::AttemptOutcome) {
        let started_unix_ms = self.clock.unix_ms();
        let entry_point = self.entry_point(progress.avoided()).await;
        let key_prefix = entry_point
            .as_ref()
            .map_or("", |entry_point| entry_point.key_prefix.as_str());
        let identity = progress.identity(key_prefix);
        let address = entry_point.map(|entry_point| entry_point.address);
        let result = self.send_to(address, content, &identity).await;
        let outcome = result.outcome;
        locking::lock(&self.report).count_attempt(&outcome);
        self.write_history(&caller::HistoryRecord {
            attempt: progress.attempt(),
            body_sha256: content.sha256().to_owned(),
            entry: address.map(|address| address.to_string()),
            key: identity.idempotency_key,
            organisation: self.settings.organisation.clone(),
            outcome: outcome.as_str().to_owned(),
            reason: outcome.reason(),
            request_id: identity.request_id,
            request_index: index,
            server: result.response.map(|response| response.server),
            started_unix_ms,
            unix_ms: self.clock.unix_ms(),
            verdict: outcome.verdict(),
        });
        (address, outcome)
    }

    async fn send_to(
        &self,
        address: Option<net::SocketAddr>,
        content: &caller::RequestBody,
        identity: &caller::RequestIdentity,
    ) -> caller::AttemptResult {
        let Some(address) = address else {
            return caller::AttemptResult::without_response(caller::AttemptOutcome::Unreachable);
        };
        let request = caller::AttemptRequest {
            address,
            content,
            identity,
            settings: &self.settings,
        };
        let result = self.transport.send(request).await;
        if result.outcome == caller::AttemptOutcome::Unreachable {
            self.entry_points.lock().await.remove(address);
        }
        result
    }

    /// Returns the entry point for the next attempt, or `None` if no entry
    /// point is available within the time limit of an attempt.
    async fn entry_point(&self, avoided: Option<net::SocketAddr>) -> Option<caller::EntryPoint> {
        if let Some(address) = self.settings.direct {
            return Some(caller::EntryPoint {
                address,
                availability_zone: String::new(),
                key_prefix: String::new(),
                lifetime_ms: u64::MAX,
            });
        }
        let limit = time::Duration::from_millis(self.settings.deadline_ms);
        tokio::time::timeout(limit, self.wait_for_entry_point(avoided))
            .await
            .ok()
    }

    async fn wait_for_entry_point(&self, avoided: Option<net::SocketAddr>) -> caller::EntryPoint {
        loop {
            let mut entry_points = self.entry_points.lock().await;
            if let Some(entry_point) = entry_points.pick(self.clock.now_ms(), avoided) {
                return entry_point;
            }
            self.query_entry_points(&mut entry_points).await;
            if let Some(entry_point) = entry_points.pick(self.clock.now_ms(), avoided) {
                return entry_point;
            }
            drop(entry_points);
            tokio::time::sleep(ENTRY_POINT_RETRY_DELAY).await;
        }
    }

    async fn query_entry_points(&self, entry_points: &mut caller::EntryPoints) {
        for address in entry_points.query_addresses(&self.settings.entry_addresses) {
            let Some(response) = self.transport.query_entry_points(address).await else {
                continue;
            };
            if !response.entry_points.is_empty() {
                entry_points.replace(self.clock.now_ms(), &response);
                return;
            }
        }
    }

    fn write_history(&self, record: &caller::HistoryRecord) {
        let Some(history) = &self.history else {
            return;
        };
        let mut line = serde_json::to_vec(record).unwrap_or_default();
        line.push(b'\n');
        if let Err(error) = locking::lock(history).write_all(&line) {
            eprintln!("cannot write the history: {error}");
        }
    }
}
