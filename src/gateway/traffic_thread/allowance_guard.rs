//! Admission of a request within the allowance of its organisation.

use std::sync;
use std::time;

use crate::admission;
use crate::gateway;
use crate::gateway::traffic_thread::routed_request;
use crate::verdict;

/// Longest time that a request waits until the other VMs know of those before. Most VMs
/// report within 200 ms that they are reached; two requests may wait for each other.
const MAX_WAIT: time::Duration = time::Duration::from_millis(500);
/// Interval at which a request that waits tries again.
const WAIT_INTERVAL: time::Duration = time::Duration::from_millis(25);

/// Admission of a request within the allowance of its organisation. It is taken back if
/// the request ends without having reached a server.
pub struct AllowanceGuard {
    has_reached_server: bool,
    is_admitted: bool,
    is_sending: bool,
    /// Organisation with an allowance; `None` if the request is not limited.
    organisation: Option<String>,
    shared: sync::Arc<gateway::Shared>,
}

impl AllowanceGuard {
    /// Creates the guard of a request that is not admitted yet.
    pub fn new(shared: &sync::Arc<gateway::Shared>) -> Self {
        Self {
            has_reached_server: false,
            is_admitted: false,
            is_sending: false,
            organisation: None,
            shared: sync::Arc::clone(shared),
        }
    }

    /// Admits a caller's request, whatever its number of attempts is, only once. A
    /// request that another VM relays was admitted there.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the organisation has used up its allowance.
    pub async fn admit(
        &mut self,
        routed: &routed_request::RoutedRequest<'_>,
    ) -> Result<(), verdict::Refusal> {
        let limited = routed.organisation.filter(|organisation| {
            routed.relay.is_none() && !self.is_admitted && organisation.allowance.is_some()
        });
        self.is_admitted = true;
        let Some(organisation) = limited else {
            return Ok(());
        };
        let name = &organisation.name;
        if let Err(refusal) = admit(&self.shared, routed, name).await {
            self.shared.decision_log.record("allowance.refused", || {
                format!("id={} organisation={name} {refusal}", routed.request_id)
            });
            let reason = verdict::RefusalReason::OrganisationLimit;
            return Err(verdict::Refusal::not_run(reason, refusal.retry_after_ms));
        }
        self.organisation = Some(name.clone());
        Ok(())
    }

    /// Records that an attempt begins. If the caller leaves meanwhile, the request may
    /// have reached a server.
    pub const fn begin_attempt(&mut self) {
        self.is_sending = true;
    }

    /// Records that an attempt has ended, and whether it may have reached a server.
    pub const fn end_attempt(&mut self, has_reached_server: bool) {
        self.is_sending = false;
        self.has_reached_server |= has_reached_server;
    }
}

/// Admits a request of an organisation. Waits while the other VMs do not know yet of
/// those that this VM has just admitted.
async fn admit(
    shared: &gateway::Shared,
    routed: &routed_request::RoutedRequest<'_>,
    organisation: &str,
) -> Result<(), admission::AllowanceRefusal> {
    // The request must still be served after the wait.
    let run_time = time::Duration::from_millis(shared.mean_run_ms(routed.service));
    let max_wait = MAX_WAIT.min(routed.time_left().saturating_sub(run_time));
    let end = tokio::time::Instant::now() + max_wait;
    loop {
        let admission = shared.admit_organisation(organisation);
        let is_early = matches!(admission, Err(refusal) if refusal.may_wait);
        if !is_early || tokio::time::Instant::now() >= end {
            if is_early {
                let now_ms = shared.now_ms();
                shared.allowances().stop_waiting(now_ms, organisation);
            }
            shared.count_admission(organisation, admission.is_ok());
            return admission;
        }
        tokio::time::sleep(WAIT_INTERVAL).await;
    }
}

impl Drop for AllowanceGuard {
    fn drop(&mut self) {
        if let Some(organisation) = self.organisation.take()
            && !self.has_reached_server
            && !self.is_sending
        {
            self.shared.allowances().take_back(&organisation);
        }
    }
}
