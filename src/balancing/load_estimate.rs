//! Load estimate of each server.

use crate::balancing;
use crate::configs;

/// Estimates the load of each server.
///
/// The estimate combines the last load report of the server, the requests that
/// this VM has sent to and finished on the server since the report, and the
/// requests that this VM has in flight on the server.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoadEstimate {
    servers: indexmap::IndexMap<String, ServerLoad>,
}

#[derive(Clone, Copy, Debug, Default)]
struct ServerLoad {
    reported_at_ms: u64,
    /// Requests sent minus requests finished by this VM since the last report.
    net_sent_since_report: i64,
    shed_until_ms: u64,
}

impl LoadEstimate {
    /// Records an event on a server.
    pub(crate) fn observe(
        &mut self,
        config: &configs::balancing::BalancingConfig,
        now_ms: u64,
        event: balancing::PickerEvent<'_>,
    ) {
        match event {
            balancing::PickerEvent::Finished { server_id } => {
                self.server(server_id).net_sent_since_report -= 1;
            }
            balancing::PickerEvent::Sent { server_id } => {
                self.server(server_id).net_sent_since_report += 1;
            }
            balancing::PickerEvent::Shed { server_id } => {
                self.server(server_id).shed_until_ms = now_ms + config.shed_pause_ms;
            }
        }
    }

    /// Resets the counts of servers with a new load report and removes servers
    /// that no longer exist.
    pub(crate) fn update(&mut self, servers: &[balancing::ServerView<'_>]) {
        for view in servers {
            let server = self.server(view.server_id);
            if view.reported_at_ms > server.reported_at_ms {
                server.reported_at_ms = view.reported_at_ms;
                server.net_sent_since_report = 0;
            }
        }
        if self.servers.len() > servers.len() {
            self.servers
                .retain(|server_id, _| servers.iter().any(|view| view.server_id == server_id));
        }
    }

    /// Returns the number of requests on the server, in permille of its slots.
    ///
    /// A server that has recently shed a request counts as full. Load reports
    /// older than `load_report_max_age_ms` are ignored.
    pub(crate) fn load_permille(
        &self,
        config: &configs::balancing::BalancingConfig,
        now_ms: u64,
        view: &balancing::ServerView<'_>,
    ) -> u64 {
        let slots = u64::from(view.slot_count.max(1));
        let own_permille = u64::from(view.own_in_flight_requests) * 1_000 / slots;
        let server = self.servers.get(view.server_id).copied();
        let server = server.unwrap_or_default();
        let mut load_permille = own_permille;
        let age_ms = now_ms.saturating_sub(view.reported_at_ms);
        if let Some(reported_permille) = view.reported_load_permille
            && age_ms <= config.load_report_max_age_ms
        {
            let net_sent_permille = server.net_sent_since_report * 1_000 / slots.cast_signed();
            let reported_permille = i64::from(reported_permille) + net_sent_permille;
            load_permille = load_permille.max(u64::try_from(reported_permille).unwrap_or(0));
        }
        if now_ms < server.shed_until_ms {
            load_permille = load_permille.max(1_000);
        }
        load_permille
    }

    fn server(&mut self, server_id: &str) -> &mut ServerLoad {
        if !self.servers.contains_key(server_id) {
            self.servers
                .insert(server_id.to_owned(), ServerLoad::default());
        }
        &mut self.servers[server_id]
    }
}
