//! Limits that backend servers have named.

use crate::gateway;
use crate::gateway::backend_pool;

const MILLI: f64 = 1_000.0;

impl backend_pool::BackendPool {
    /// Records the limit that a server names in the response to a request sent at
    /// `sent_ms`, or that it names none.
    ///
    /// Returns the notice for the other VMs if this is a change.
    pub fn record_named_limit(
        &mut self,
        now_ms: u64,
        incarnation: u64,
        sent_ms: u64,
        limit_per_s: Option<f64>,
    ) -> Option<gateway::LimitNotice> {
        let known = self.servers.get(&incarnation)?.constraints.limit;
        let is_ended = known.is_some_and(|known| known.is_ended_by(sent_ms));
        if limit_per_s.is_none() && !is_ended {
            return None;
        }
        let is_changed = self.set_limit(now_ms, incarnation, limit_per_s, true);
        is_changed.then(|| gateway::LimitNotice {
            has_request: false,
            incarnation,
            limit_milli: limit_per_s.map(to_milli),
        })
    }

    /// Applies the notice of another VM.
    pub fn apply_limit_notice(&mut self, now_ms: u64, notice: gateway::LimitNotice) {
        let limit_per_s = notice.limit_milli.map(from_milli);
        self.set_limit(now_ms, notice.incarnation, limit_per_s, false);
        if notice.has_request {
            self.count_towards_limit(now_ms, notice.incarnation);
        }
    }

    /// Counts a request that is sent to a server now towards its limit. Returns the
    /// notice for the other VMs if the server has a limit.
    pub(super) fn count_towards_limit(
        &mut self,
        now_ms: u64,
        incarnation: u64,
    ) -> Option<gateway::LimitNotice> {
        let limit = self
            .servers
            .get_mut(&incarnation)?
            .constraints
            .limit
            .as_mut()?;
        limit.record_send(now_ms);
        Some(gateway::LimitNotice {
            has_request: true,
            incarnation,
            limit_milli: Some(to_milli(limit.per_s())),
        })
    }

    /// Sets or ends the limit of a server. Returns whether that is a change.
    fn set_limit(
        &mut self,
        now_ms: u64,
        incarnation: u64,
        limit_per_s: Option<f64>,
        is_own: bool,
    ) -> bool {
        let Some(server) = self.servers.get_mut(&incarnation) else {
            return false;
        };
        let is_changed = match (&mut server.constraints.limit, limit_per_s) {
            (None, None) => false,
            (Some(limit), Some(per_s)) => limit.set_rate(per_s),
            (limit, per_s) => {
                *limit = per_s.map(|per_s| gateway::SendLimit::new(now_ms, per_s));
                true
            }
        };
        if is_changed {
            self.changes.push(gateway::HealthChange::Limit {
                is_own,
                limit_per_s,
                server: server.backend.id.clone(),
                service: server.backend.service.clone(),
            });
        }
        is_changed
    }
}

fn to_milli(per_s: f64) -> u64 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a limit is positive and far below 2^52"
    )]
    let milli = (per_s * MILLI).round() as u64;
    milli
}

fn from_milli(milli: u64) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "a limit is far below 2^52")]
    let per_s = milli as f64 / MILLI;
    per_s
}
