//! Tells the control thread how attempts ended.

use std::sync;

use tokio::sync::mpsc;

use crate::daemon;
use crate::health;
use crate::telemetry;

/// Reports the outcome of one attempt to the control thread.
pub struct OutcomeReporter {
    /// Counts reports that were dropped.
    pub counters: sync::Arc<telemetry::Counters>,
    /// Hash of what the request asked for.
    pub fingerprint: u64,
    /// Takes the report.
    pub outcomes: mpsc::Sender<daemon::OutcomeReport>,
    /// The server.
    pub server_id: String,
    /// The service's name.
    pub service: String,
}

impl OutcomeReporter {
    /// Reports how the attempt ended; nothing where it says nothing of the
    /// server.
    pub fn report(self, kind: Option<health::OutcomeKind>, latency_us: u64) {
        let Some(kind) = kind else {
            return;
        };
        if kind.is_invalid_response() {
            telemetry::Event::AnswerInvalid
                .debug(|| format!("{}: {}: {kind:?}", self.service, self.server_id));
        }
        let report = daemon::OutcomeReport {
            fingerprint: self.fingerprint,
            outcome: health::Outcome {
                kind,
                latency_us,
                server_id: self.server_id,
            },
            service: self.service,
        };
        // A control thread that is behind must not hold requests up.
        if self.outcomes.try_send(report).is_err() {
            self.counters.add("outcome.dropped");
        }
    }
}
