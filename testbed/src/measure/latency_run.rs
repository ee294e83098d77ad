//! Run of a latency measurement.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use snafu::ResultExt as _;

use crate::caller;
use crate::locking;
use crate::measure;
use crate::measure::latency_error;

/// Requests of each case before the first round, which open the connections.
const WARM_UP_REQUESTS: u64 = 100;
/// Length of an order's body, in bytes.
const ORDER_BYTES: u64 = 400;
/// Deadline of each request, in milliseconds.
const DEADLINE_MS: u64 = 2_000;
/// Maximum number of times that the key prefix of the home is requested.
const KEY_PREFIX_ATTEMPTS: u32 = 100;
/// Delay between two requests for the key prefix.
const KEY_PREFIX_RETRY_DELAY: time::Duration = time::Duration::from_millis(100);

/// Run of a latency measurement. The cases are interleaved in rounds.
pub struct LatencyRun {
    next_request: atomic::AtomicU64,
    run_id: String,
    settings: measure::LatencySettings,
    transport: caller::Transport,
}

/// Requests of one case under one load.
struct Batch {
    address: net::SocketAddr,
    figures: sync::Mutex<measure::CellFigures>,
    key_prefix: String,
    remaining_requests: atomic::AtomicU64,
    settings: caller::Settings,
}

impl LatencyRun {
    /// Creates a run. `run_id` must be unique, since the idempotency keys contain it.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client cannot be built.
    pub fn new(
        settings: measure::LatencySettings,
        run_id: String,
    ) -> Result<Self, measure::LatencyError> {
        let transport = caller::Transport::new().context(latency_error::ClientSnafu)?;
        Ok(Self {
            next_request: atomic::AtomicU64::new(0),
            run_id,
            settings,
            transport,
        })
    }

    /// Runs all rounds and returns their latencies.
    ///
    /// # Errors
    ///
    /// Returns an error if the home does not provide a key prefix.
    pub async fn run(self) -> Result<measure::LatencyFigures, measure::LatencyError> {
        let run = sync::Arc::new(self);
        let mut figures = measure::LatencyFigures::default();
        for load in run.loads() {
            for case in measure::LatencyCase::ALL {
                run.measure_cell(case, load, 0, WARM_UP_REQUESTS).await?;
            }
            for round in 1..=run.settings.round_count {
                for case in case_order(round) {
                    let cell = run
                        .measure_cell(case, load, round, run.settings.request_count)
                        .await?;
                    figures.push(cell);
                }
            }
        }
        Ok(figures)
    }

    fn loads(&self) -> Vec<measure::LatencyLoad> {
        let loads = self.settings.work_ms.iter().flat_map(|work_ms| {
            let with = |concurrency: &u32| measure::LatencyLoad {
                concurrency: *concurrency,
                work_ms: *work_ms,
            };
            self.settings.concurrency.iter().map(with)
        });
        loads.collect()
    }

    /// Sends the requests of one case under one load in one round and returns their
    /// latencies. Round 0 opens the connections before the first round.
    async fn measure_cell(
        self: &sync::Arc<Self>,
        case: measure::LatencyCase,
        load: measure::LatencyLoad,
        round: usize,
        request_count: u64,
    ) -> Result<measure::CellFigures, measure::LatencyError> {
        let batch = sync::Arc::new(Batch {
            address: self.address(case),
            figures: sync::Mutex::new(measure::CellFigures::new(case, load, round)?),
            key_prefix: self.key_prefix(case).await?,
            remaining_requests: atomic::AtomicU64::new(request_count),
            settings: settings(case, load),
        });
        let workers = (0..load.concurrency).map(|_| {
            let (run, batch) = (sync::Arc::clone(self), sync::Arc::clone(&batch));
            tokio::spawn(async move { run.run_worker(&batch).await })
        });
        futures::future::join_all(workers).await;
        let figures = locking::lock(&batch.figures).clone();
        Ok(figures)
    }

    async fn run_worker(&self, batch: &Batch) {
        let decrement = |remaining: u64| remaining.checked_sub(1);
        let order = atomic::Ordering::Relaxed;
        while batch
            .remaining_requests
            .fetch_update(order, order, decrement)
            .is_ok()
        {
            self.send_request(batch).await;
        }
    }

    async fn send_request(&self, batch: &Batch) {
        let index = self.next_request.fetch_add(1, atomic::Ordering::Relaxed);
        let content = caller::RequestBody::new(index, batch.settings.body_bytes);
        let name = format!("{}-{index}", self.run_id);
        let identity = caller::RequestIdentity::new(&name, batch.settings.keyed, &batch.key_prefix);
        let request = caller::AttemptRequest {
            address: batch.address,
            content: &content,
            identity: &identity,
            settings: &batch.settings,
        };
        let started = time::Instant::now();
        let attempt = self.transport.send(request).await;
        let latency_us = u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX);
        let mut figures = locking::lock(&batch.figures);
        if attempt.outcome == caller::AttemptOutcome::Answered {
            figures.add(latency_us);
        } else {
            figures.failed_requests += 1;
        }
    }

    const fn address(&self, case: measure::LatencyCase) -> net::SocketAddr {
        match case {
            measure::LatencyCase::LookupDirect => self.settings.lookup_server,
            measure::LatencyCase::OrderDirect => self.settings.order_server,
            measure::LatencyCase::LookupThroughDaemon | measure::LatencyCase::OrderThroughHome => {
                self.settings.home
            }
            measure::LatencyCase::OrderThroughOther => self.settings.other,
        }
    }

    /// Returns the home's key prefix for orders, and an empty prefix for lookups. The
    /// prefix is requested for each batch since it changes with the home's epoch.
    async fn key_prefix(
        &self,
        case: measure::LatencyCase,
    ) -> Result<String, measure::LatencyError> {
        if !case.is_order() {
            return Ok(String::new());
        }
        for _ in 0..KEY_PREFIX_ATTEMPTS {
            if let Some(key_prefix) = self.fetch_key_prefix().await {
                return Ok(key_prefix);
            }
            tokio::time::sleep(KEY_PREFIX_RETRY_DELAY).await;
        }
        latency_error::KeyPrefixSnafu {
            home: self.settings.home,
        }
        .fail()
    }

    async fn fetch_key_prefix(&self) -> Option<String> {
        let response = self
            .transport
            .query_entry_points(self.settings.home)
            .await?;
        let own = response
            .entry_points
            .into_iter()
            .find(|entry_point| entry_point.address == self.settings.home)?;
        (!own.key_prefix.is_empty()).then_some(own.key_prefix)
    }
}

/// Returns the cases of a round: in order in odd rounds and in reverse order in
/// even rounds, so that no case runs first in every round.
fn case_order(round: usize) -> Vec<measure::LatencyCase> {
    let cases = measure::LatencyCase::ALL.into_iter();
    if round.is_multiple_of(2) {
        cases.rev().collect()
    } else {
        cases.collect()
    }
}

fn settings(case: measure::LatencyCase, load: measure::LatencyLoad) -> caller::Settings {
    let work_ms = http::HeaderValue::from(load.work_ms);
    let headers = vec![(http::HeaderName::from_static("x-work-ms"), work_ms)];
    let common = caller::Settings {
        deadline_ms: DEADLINE_MS,
        headers,
        ..caller::Settings::default()
    };
    if case.is_order() {
        return caller::Settings {
            body_bytes: ORDER_BYTES,
            keyed: true,
            method: http::Method::POST,
            path: "/orders/1".to_owned(),
            ..common
        };
    }
    caller::Settings {
        path: "/prices/1".to_owned(),
        ..common
    }
}
