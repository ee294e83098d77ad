//! The gateway's own choice.

use std::net;
use std::sync;

use foxtailwinch::configs;
use foxtailwinch::gateway;
use foxtailwinch::ports;

use crate::replay::placement;

/// Port of the VMs' invented addresses.
const PEER_PORT: u16 = 7_000;

/// The gateway's own choice: the real board.
pub(super) struct BoardPlacement(gateway::BackendPool);

impl BoardPlacement {
    /// Gives a board that knows the servers.
    pub(super) fn new(
        config: &configs::GatewayConfig,
        min_share_percent: u64,
        backends: &[sync::Arc<ports::Backend>],
    ) -> Self {
        let mut board = gateway::BackendPool::new(
            config.suspicion.clone(),
            config.server_use.clone(),
            min_share_percent * 10,
        );
        board.set_backends(0, backends.iter());
        Self(board)
    }
}

impl placement::Placement for BoardPlacement {
    fn choose(
        &mut self,
        now_ms: u64,
        request: &gateway::ChoiceRequest<'_>,
    ) -> Option<placement::Placed> {
        let choice = self.0.choose(now_ms, request)?;
        Some(placement::Placed {
            in_flight: choice.in_flight,
            is_probe: choice.is_probe,
            lifetime: choice.incarnation,
        })
    }

    fn note_end(&mut self, lifetime: u64) {
        self.0.record_request_end(lifetime);
    }

    fn mean_run_ms(&self, service: &str) -> f64 {
        self.0.mean_run_ms(service)
    }

    fn note_run_time(&mut self, service: &str, run_ms: f64) -> gateway::Evidence {
        self.0.record_run_time(service, run_ms)
    }

    fn note_evidence(&mut self, now_ms: u64, lifetime: u64, evidence: gateway::Evidence) -> bool {
        self.0.record_evidence(now_ms, lifetime, evidence)
    }

    fn note_peer_evidence(&mut self, now_ms: u64, lifetime: u64, evidence: gateway::Evidence) {
        self.0.record_peer_evidence(now_ms, lifetime, evidence);
    }

    fn note_outcome(&mut self, now_ms: u64, service: &str, is_served: bool) {
        self.0.record_outcome(now_ms, service, is_served);
    }

    fn note_shed(&mut self, now_ms: u64, lifetime: u64) {
        self.0.record_shed(now_ms, lifetime);
    }

    fn take_report(&mut self) -> Option<gateway::LoadReport> {
        let report = self.0.take_report();
        (!report.is_empty()).then_some(report)
    }

    fn note_report(&mut self, now_ms: u64, from: usize, report: &gateway::LoadReport) {
        let number = u32::try_from(from).unwrap_or(u32::MAX);
        let address = net::SocketAddr::from((net::Ipv4Addr::from(number), PEER_PORT));
        self.0.apply_report(now_ms, address, report);
    }
}
