//! State of a stand-in backend server.

use std::{
    io,
    sync::{self, atomic},
    time,
};

use foxtailwinch::context;

use crate::{backend, locking};

/// Upper limit of a request's run time.
const MAX_WORK: time::Duration = time::Duration::from_hours(24);

/// State of a stand-in backend server, shared by all its requests.
pub struct BackendServer {
    clock: sync::Arc<dyn context::Clock>,
    draining: atomic::AtomicBool,
    gray_mode: sync::Mutex<backend::GrayMode>,
    last_response: sync::Mutex<Option<backend::ResponseBody>>,
    reported_load: sync::Mutex<backend::ReportedLoad>,
    run_log: sync::Arc<sync::Mutex<backend::RunLog>>,
    service_time: sync::Mutex<backend::ServiceTime>,
    settings: backend::Settings,
    slots: sync::Arc<backend::Slots>,
    started_ms: u64,
}

impl BackendServer {
    /// Creates a server that starts now.
    ///
    /// # Errors
    ///
    /// Returns an error if the run log's file cannot be opened.
    pub fn new(
        clock: sync::Arc<dyn context::Clock>,
        settings: backend::Settings,
    ) -> io::Result<Self> {
        let run_log = backend::RunLog::open(settings.run_log_path.as_deref())?;
        Ok(Self {
            draining: atomic::AtomicBool::new(false),
            gray_mode: sync::Mutex::new(settings.gray_mode),
            last_response: sync::Mutex::new(None),
            reported_load: sync::Mutex::new(backend::ReportedLoad::new(settings.load_lag_ms)),
            run_log: sync::Arc::new(sync::Mutex::new(run_log)),
            service_time: sync::Mutex::new(backend::ServiceTime::new(
                settings.mean_work_ms,
                settings.cold_start_ms,
                settings.seed,
            )),
            slots: sync::Arc::new(backend::Slots::new(
                settings.slot_count,
                settings.queue_requests,
            )),
            started_ms: clock.now_ms(),
            clock,
            settings,
        })
    }

    /// Makes the server refuse new requests.
    pub fn drain(&self) {
        self.draining.store(true, atomic::Ordering::SeqCst);
    }

    /// Returns `true` at random, in `percent` of the calls.
    pub fn random_bool(&self, percent: f64) -> bool {
        locking::lock(&self.service_time).random_bool(percent)
    }

    /// Returns the run time of a request: the time that its headers give, or
    /// else a random one, multiplied by the factor of the gray mode.
    pub fn sample_work(&self, head: &backend::RequestHead) -> time::Duration {
        let now_ms = self.clock.now_ms();
        let uptime_ms = now_ms.saturating_sub(self.started_ms);
        let sampled_ms = locking::lock(&self.service_time).sample_ms(uptime_ms);
        let base_ms = match head.work_ms {
            Some(work_ms) => f64::from(u32::try_from(work_ms).unwrap_or(u32::MAX)),
            None => sampled_ms,
        };
        let work_ms = base_ms * self.gray_mode().work_factor(now_ms);
        time::Duration::try_from_secs_f64(work_ms / 1_000.0)
            .unwrap_or(MAX_WORK)
            .min(MAX_WORK)
    }

    /// Returns the current gray mode.
    #[must_use]
    pub fn gray_mode(&self) -> backend::GrayMode {
        *locking::lock(&self.gray_mode)
    }

    /// Returns whether the server refuses new requests.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.draining.load(atomic::Ordering::SeqCst)
    }

    /// Returns whether the server is in no gray mode and not draining. Only an
    /// honest health endpoint reports this state.
    #[must_use]
    pub fn is_healthy(&self) -> bool {
        self.gray_mode() == backend::GrayMode::Healthy && !self.is_draining()
    }

    /// Returns the number of slots in use as the server reports it. The number
    /// may be out of date by the configured lag.
    #[must_use]
    pub fn reported_in_flight(&self) -> u32 {
        locking::lock(&self.reported_load).report(self.clock.now_ms(), self.slots.in_flight())
    }

    /// Returns all runs of this server.
    #[must_use]
    pub fn runs(&self) -> Vec<backend::RunRecord> {
        locking::lock(&self.run_log).records().to_vec()
    }

    /// Sets the gray mode.
    pub fn set_gray_mode(&self, gray_mode: backend::GrayMode) {
        *locking::lock(&self.gray_mode) = gray_mode;
    }

    /// Returns the settings of the server.
    #[must_use]
    pub const fn settings(&self) -> &backend::Settings {
        &self.settings
    }

    /// Returns the slots of the server.
    #[must_use]
    pub const fn slots(&self) -> &sync::Arc<backend::Slots> {
        &self.slots
    }

    /// Records the start of a run.
    #[must_use]
    pub fn start_run(&self, head: &backend::RequestHead, fingerprint: &str) -> backend::RunGuard {
        let record = backend::RunRecord {
            finished: backend::RunOutcome::Running,
            fingerprint: fingerprint.to_owned(),
            idempotency_key: head.idempotency_key.clone(),
            request_id: head.request_id.clone(),
            run: 0,
            server: self.settings.name.clone(),
            started_unix_ms: self.clock.unix_ms(),
        };
        backend::RunGuard::start(&self.run_log, record)
    }

    /// Stores `response` and returns the previously stored response, or one
    /// with a made-up request id if there was none.
    #[must_use]
    pub fn replace_last_response(&self, response: &backend::ResponseBody) -> backend::ResponseBody {
        locking::lock(&self.last_response)
            .replace(response.clone())
            .unwrap_or_else(|| backend::ResponseBody {
                request_id: format!("other-than-{}", response.request_id),
                ..response.clone()
            })
    }
}
