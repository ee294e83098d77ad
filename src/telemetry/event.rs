//! Numbered log events. The catalogue for operators is `docs/events.md`.

/// Kind of a log event. Numbers never change, and the number of a removed event
/// is never reused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u16)]
pub enum Event {
    /// The daemon has started.
    Started = 1,
    /// A graceful shutdown has begun.
    LeaveBegun = 2,
    /// The graceful shutdown is complete: no request is in flight.
    Left = 3,
    /// The graceful shutdown reached its time limit with requests still in
    /// flight.
    LeaveTimedOut = 4,
    /// The daemon cannot listen on a port.
    PortFailed = 5,
    /// The settings were reloaded.
    SettingsReloaded = 6,
    /// A bundle came into force.
    BundleInForce = 10,
    /// A record of the configuration stream was rejected.
    RecordRejected = 11,
    /// The log service cannot be reached or sends invalid responses.
    LogUnavailable = 12,
    /// The log service responds again.
    LogAvailable = 13,
    /// The VM list changed.
    VmListChanged = 14,
    /// A read returned records other than the ones needed next.
    RecordsOutOfOrder = 15,
    /// A record of the configuration stream was applied.
    RecordFolded = 16,
    /// This VM has a configuration and begins to serve requests.
    Ready = 17,
    /// A rehearsal began or ended.
    RehearsalChanged = 18,
    /// Another entry VM cannot be reached or sends invalid responses.
    PeerUnavailable = 20,
    /// Another entry VM sent an invalid message.
    PeerMessageInvalid = 21,
    /// A server gets fewer requests because it performs worse than the other
    /// servers of its service.
    ServerSteeredAway = 30,
    /// A server was ejected and gets no requests.
    ServerEjected = 31,
    /// An ejected server gets requests again.
    ServerReadmitted = 32,
    /// A server reported that it is draining.
    ServerDraining = 33,
    /// A request that crashed servers was quarantined and is refused from now
    /// on.
    RequestQuarantined = 34,
    /// A request was refused.
    RequestRefused = 40,
    /// A response was truncated or belonged to another request.
    AnswerInvalid = 41,
    /// The metric sink cannot be used.
    MetricSinkFailed = 50,
    /// A decision that affects a request or changes this VM's view of the
    /// fleet.
    Decision = 60,
    /// Log lines were suppressed because too many were written.
    LinesLeftOut = 61,
    /// Counts of the requests and retries of a service.
    RetryCounts = 62,
}

impl Event {
    /// Returns the event's number as written in the log, such as `FW0010`.
    #[must_use]
    pub fn code(self) -> String {
        format!("FW{:04}", self as u16)
    }

    /// Logs the event at level `info`.
    pub fn info(self, message: &str) {
        log::info!("{} {message}", self.code());
    }

    /// Logs the event at level `warn`.
    pub fn warn(self, message: &str) {
        log::warn!("{} {message}", self.code());
    }

    /// Logs the event at level `error`.
    pub fn error(self, message: &str) {
        log::error!("{} {message}", self.code());
    }

    /// Logs the event at level `debug`. The message is built only if the level
    /// is enabled.
    pub fn debug(self, message: impl FnOnce() -> String) {
        if log::log_enabled!(log::Level::Debug) {
            log::debug!("{} {}", self.code(), message());
        }
    }
}
