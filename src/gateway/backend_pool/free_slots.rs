//! Servers with free slots, for requests that wait at this VM until there is one.

use crate::gateway;
use crate::gateway::backend_pool;
use crate::gateway::tracked_server;

impl backend_pool::BackendPool {
    /// Returns the number of free slots for a request, by the counts of this VM and
    /// those that the other VMs report.
    ///
    /// Counts the slots of open servers that the request has not tried, that have not
    /// refused a request a moment ago and that are neither suspect nor unreachable.
    /// Where there are only suspect or unreachable ones, their slots count, because
    /// waiting does not make them better. Servers of other regions count only if the
    /// VM's region has none, because their VMs do not report to this VM. If no server is
    /// open, nothing is gained by waiting, and the number is unlimited.
    #[must_use]
    pub fn free_slot_count(&self, now_ms: u64, request: &gateway::ChoiceRequest<'_>) -> u32 {
        let candidates = self.candidates(now_ms, request);
        if candidates.is_empty() {
            return u32::MAX;
        }
        let is_near = |incarnation: u64| {
            let server = self.servers.get(&incarnation);
            server.is_some_and(|server| server.backend.region == request.region)
        };
        let has_near = candidates.iter().any(|&(server, _)| is_near(server));
        let reachable: Vec<(u64, bool)> = candidates
            .into_iter()
            .filter(|&(incarnation, _)| !has_near || is_near(incarnation))
            .map(|(incarnation, suspicion)| {
                let server = self.servers.get(&incarnation);
                let is_reachable =
                    server.is_some_and(|server| now_ms >= server.unreachable_until_ms);
                let is_sound = is_reachable && suspicion < tracked_server::SUSPECT_PROBABILITY;
                (incarnation, is_sound)
            })
            .collect();
        let has_sound = reachable.iter().any(|&(_, is_sound)| is_sound);
        let counted = reachable
            .iter()
            .filter(|&&(_, is_sound)| is_sound || !has_sound);
        counted
            .map(|&(incarnation, _)| self.free_slots_of(now_ms, incarnation))
            .fold(0, u32::saturating_add)
    }

    /// Returns whether a server may be sent a request now that the request has not tried.
    #[must_use]
    pub fn has_open_server(&self, now_ms: u64, request: &gateway::ChoiceRequest<'_>) -> bool {
        let mut servers = self.untried_servers(request);
        servers.any(|(_, server)| server.allows_request(now_ms))
    }

    /// Chooses a server as `choose` does, but one with a free slot where there is one.
    pub fn choose_free(
        &mut self,
        now_ms: u64,
        request: &gateway::ChoiceRequest<'_>,
    ) -> Option<gateway::Choice> {
        let has_free_slot = |pool: &Self, incarnation| pool.free_slots_of(now_ms, incarnation) > 0;
        if self.free_slot_count(now_ms, request) > 0 {
            self.choose_among(now_ms, request, has_free_slot)
        } else {
            self.choose(now_ms, request)
        }
    }

    fn free_slots_of(&self, now_ms: u64, incarnation: u64) -> u32 {
        let Some(server) = self.servers.get(&incarnation) else {
            return 0;
        };
        let has_shed = server
            .last_shed_ms
            .is_some_and(|at_ms| at_ms + backend_pool::SHED_PENALTY_MS > now_ms);
        if has_shed {
            return 0;
        }
        let slot_count = server.backend.slot_count.max(1);
        let slot_count = if server.is_warming(now_ms) {
            slot_count.div_ceil(2)
        } else {
            slot_count
        };
        slot_count.saturating_sub(self.in_flight(now_ms, incarnation))
    }
}
