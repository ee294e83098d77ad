//! Request that is to wait at this VM for a free slot of a server.

use crate::admission;
use crate::gateway::peer_loads;
use crate::gateway::request_queue;
use crate::ports;

/// Request that is to wait at this VM for a free slot of a server.
#[derive(Clone, Copy, Debug)]
pub struct WaitingRequest<'a> {
    /// Run time that few of the route's requests exceed, in milliseconds; `None` before
    /// its first response.
    pub high_run_ms: Option<u64>,
    /// Mean run time of the service's requests, in milliseconds.
    pub mean_run_ms: u64,
    /// Organisation that the request comes from; `None` if there is none.
    pub organisation: Option<&'a ports::Organisation>,
    /// Id of the request, unique on this VM.
    pub request_id: u64,
    /// Route of the request.
    pub route: &'a ports::Route,
    /// Time until the deadline of the request, in milliseconds.
    pub time_left_ms: u64,
    /// Share of the slots that the organisation gets, relative to the others.
    pub weight: u64,
}

impl WaitingRequest<'_> {
    /// Returns the arrival of the request at the queue of its service.
    #[must_use]
    pub fn arrival(&self, now_ms: u64) -> admission::Arrival {
        // A slot is wasted on a request whose caller leaves before it ends. Where callers
        // wait for less than a long run, most requests may still be served.
        let needed_ms = self.high_run_ms.filter(|ms| *ms < self.time_left_ms);
        let needed_ms = needed_ms.unwrap_or(self.mean_run_ms);
        let deadline_ms = now_ms.saturating_add(self.time_left_ms);
        // By then, each report by which the slots seem to be taken has been renewed or has
        // expired. Where callers have less time, the last check before the request would be
        // late decides.
        let reports_end_ms = now_ms.saturating_add(peer_loads::REPORT_MAX_AGE_MS);
        let latest_start_ms = deadline_ms.saturating_sub(needed_ms);
        let last_check_ms = latest_start_ms.saturating_sub(request_queue::CHECK_INTERVAL_MS);
        admission::Arrival {
            deadline_ms,
            expected_run_ms: self.mean_run_ms,
            needed_ms,
            organisation: self
                .organisation
                .map_or_else(String::new, |known| known.name.clone()),
            priority: request_priority(self.organisation, self.route),
            request_id: self.request_id,
            send_by_ms: Some(reports_end_ms.min(last_check_ms)),
            weight: self.weight,
        }
    }
}

/// Returns the priority of a request: the organisation's, or else the route's. 0 is the
/// highest.
#[must_use]
pub fn request_priority(organisation: Option<&ports::Organisation>, route: &ports::Route) -> u32 {
    let priority = organisation.and_then(|organisation| organisation.priority);
    priority.unwrap_or(route.priority)
}
