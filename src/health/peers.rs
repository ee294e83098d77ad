//! Summaries received from the other entry VMs.

use std::net;

use crate::health;

/// Maximum number of entry VMs whose last summary is kept.
const PEERS_MAX: usize = 256;

/// Last summaries received from the other entry VMs.
#[derive(Default)]
pub(super) struct Peers {
    views: indexmap::IndexMap<net::SocketAddr, health::peer_view::PeerView>,
}

/// Changes that a summary reports; servers are given by position.
#[derive(Default)]
pub(super) struct PeerUpdate {
    pub(super) newly_ejected: Vec<usize>,
    pub(super) scores: Vec<(usize, health::score::Score)>,
    pub(super) totals: health::counts::Counts,
}

impl Peers {
    /// Applies a summary and returns the changes since the sender's previous
    /// one. `position` returns the position of a server, or `None` for an
    /// unknown one.
    pub(super) fn apply(
        &mut self,
        now_ms: u64,
        from: net::SocketAddr,
        summary: &health::Summary,
        position: impl Fn(&str) -> Option<usize>,
    ) -> PeerUpdate {
        let mut update = PeerUpdate::default();
        let view = self.view(from, summary.incarnation);
        if !view.accept(now_ms, summary) {
            return update;
        }
        update.totals = view.totals_increase(summary.totals);
        for server in &summary.servers {
            let Some(index) = position(&server.server_id) else {
                continue;
            };
            if view.has_newly_ejected(server) {
                update.newly_ejected.push(index);
            }
            let score = view.increase(server);
            update.scores.extend(score.map(|score| (index, score)));
        }
        update
    }

    /// Returns whether a summary arrived at or after `since_ms`.
    pub(super) fn has_received_since(&self, since_ms: u64) -> bool {
        self.views.values().any(|view| view.received_ms >= since_ms)
    }

    fn view(
        &mut self,
        from: net::SocketAddr,
        incarnation: u64,
    ) -> &mut health::peer_view::PeerView {
        if !self.views.contains_key(&from) && self.views.len() >= PEERS_MAX {
            self.views.shift_remove_index(0);
        }
        self.views
            .entry(from)
            .or_insert_with(|| health::peer_view::PeerView::new(incarnation))
    }
}
