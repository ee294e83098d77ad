//! Risk that a server fails a request, weighed by what the failure means to the caller.

use crate::gateway;
use crate::gateway::backend_pool;

/// Cost of a server that is failing with probability 1, for a request that can still be
/// served elsewhere after the failure, in units of load.
///
/// By default, this is more than another zone and another region cost together
/// for requests other than uploads, and less than `UNREACHABLE_COST`.
const SUSPICION_COST: f64 = 2.5;
/// Additional cost of such a server for a request that is lost with the failure.
const LOSS_COST: f64 = 5.0;

impl backend_pool::BackendPool {
    /// Removes the servers that are at least as suspect as one without evidence if the
    /// request would be lost with a failure and others of the service would not be.
    ///
    /// That depends on the attempts that the route still allows, not on those that were
    /// made: the last attempt of a route with several is as final as the only one of a
    /// route with one.
    pub(super) fn leave_probes_to_retryable_requests(
        &mut self,
        now_ms: u64,
        required: &mut Vec<u64>,
        candidates: &[(u64, f64)],
        request: &gateway::ChoiceRequest<'_>,
    ) {
        let health = self
            .services
            .entry(backend_pool::service_hash(request.service));
        let health = health.or_default();
        if request.may_retry {
            health.record_retryable(now_ms);
        } else if health.has_recent_retryable(now_ms) {
            let max_suspicion = self.config.unknown_probability;
            let suspects = candidates
                .iter()
                .filter(|(_, suspicion)| *suspicion >= max_suspicion);
            let suspects: Vec<u64> = suspects.map(|(incarnation, _)| *incarnation).collect();
            required.retain(|incarnation| !suspects.contains(incarnation));
        }
    }

    /// Returns the cost of the risk that a server fails the request, in units of load.
    ///
    /// Where no requests of the service can be retried, a server without evidence costs
    /// little for the others: one of them has to try it.
    pub(super) fn risk_cost(
        &self,
        now_ms: u64,
        suspicion: f64,
        request: &gateway::ChoiceRequest<'_>,
    ) -> f64 {
        let cost = SUSPICION_COST * suspicion;
        if request.may_retry {
            return cost;
        }
        let health = self
            .services
            .get(&backend_pool::service_hash(request.service));
        let has_retryable = health.is_some_and(|health| health.has_recent_retryable(now_ms));
        let tolerated = if has_retryable {
            0.0
        } else {
            self.config.unknown_probability
        };
        cost + LOSS_COST * (suspicion - tolerated).max(0.0)
    }
}
