//! Numbered log events. The catalogue for operators is `docs/events.md`.

/// A kind of log event. Its number never changes and is never used again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u16)]
pub enum Event {
    /// The daemon has started.
    Started = 1,
    /// A graceful leave has begun.
    LeaveBegun = 2,
    /// The daemon has left: nothing is in flight.
    Left = 3,
    /// The daemon left with requests still in flight, after the time limit.
    LeaveTimedOut = 4,
    /// A port cannot be served.
    PortFailed = 5,
    /// The settings were read again.
    SettingsReloaded = 6,
    /// A bundle came into force.
    BundleInForce = 10,
    /// A record of the configuration stream was refused.
    RecordRejected = 11,
    /// The log service cannot be reached, or answers wrongly.
    LogUnavailable = 12,
    /// The log service answers again.
    LogAvailable = 13,
    /// The VM list changed.
    VmListChanged = 14,
    /// Other records were read than the ones needed next.
    RecordsOutOfOrder = 15,
    /// A record of the configuration stream was folded.
    RecordFolded = 16,
    /// This VM has a configuration and begins to serve.
    Ready = 17,
    /// A rehearsal began or ended.
    RehearsalChanged = 18,
    /// Another entry VM cannot be reached, or answers wrongly.
    PeerUnavailable = 20,
    /// Another entry VM sent a message that is not valid.
    PeerMessageInvalid = 21,
    /// A server gets less work because its answers are worse than the others'.
    ServerSteeredAway = 30,
    /// A server is out of service.
    ServerEjected = 31,
    /// A server is back in service.
    ServerReadmitted = 32,
    /// A server says that it is leaving.
    ServerDraining = 33,
    /// A request has crashed servers and is refused from now on.
    RequestQuarantined = 34,
    /// A request was refused.
    RequestRefused = 40,
    /// An answer broke off or was another request's.
    AnswerInvalid = 41,
    /// The metric sink cannot be used.
    MetricSinkFailed = 50,
    /// A decision that touches a request or changes what this VM believes.
    Decision = 60,
    /// Lines were left out because too many were written.
    LinesLeftOut = 61,
}

impl Event {
    /// Gives the event's number as it stands in the log, such as `FW0010`.
    #[must_use]
    pub fn code(self) -> String {
        format!("FW{:04}", self as u16)
    }

    /// Writes the event at level `info`.
    pub fn info(self, message: &str) {
        log::info!("{} {message}", self.code());
    }

    /// Writes the event at level `warn`.
    pub fn warn(self, message: &str) {
        log::warn!("{} {message}", self.code());
    }

    /// Writes the event at level `error`.
    pub fn error(self, message: &str) {
        log::error!("{} {message}", self.code());
    }

    /// Writes the event at level `debug`; the message is built only if it is
    /// written.
    pub fn debug(self, message: impl FnOnce() -> String) {
        if log::log_enabled!(log::Level::Debug) {
            log::debug!("{} {}", self.code(), message());
        }
    }
}
