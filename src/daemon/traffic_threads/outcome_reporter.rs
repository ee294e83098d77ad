//! Reporting of attempt outcomes to the control thread.

use std::sync;

use tokio::sync::mpsc;

use crate::daemon;
use crate::health;
use crate::telemetry;

/// Reports the outcome of one attempt to the control thread.
pub struct OutcomeReporter {
    /// Counters, including the number of dropped reports.
    pub counters: sync::Arc<telemetry::Counters>,
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Queue of the control thread.
    pub outcomes: mpsc::Sender<daemon::OutcomeReport>,
    /// Id of the server.
    pub server_id: String,
    /// Name of the service.
    pub service: String,
}

impl OutcomeReporter {
    /// Reports the outcome of the attempt. `None` means that the attempt is no
    /// evidence about the server, so nothing is reported.
    pub fn report(self, kind: Option<health::OutcomeKind>, latency_us: u64) {
        let Some(kind) = kind else {
            return;
        };
        if kind.is_invalid_response() {
            telemetry::Event::AnswerInvalid.debug(|| {
                format!(
                    "{}: server {}: invalid response: {kind:?}",
                    self.service, self.server_id
                )
            });
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
        // The report is dropped if the queue is full, so that a slow control
        // thread does not delay requests.
        if self.outcomes.try_send(report).is_err() {
            self.counters.add("outcome.dropped");
        }
    }
}
