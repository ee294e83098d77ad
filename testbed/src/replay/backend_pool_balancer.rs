//! Balancer of the gateway.

use std::net;
use std::sync;

use foxtailwinch::configs;
use foxtailwinch::gateway;
use foxtailwinch::ports;

use crate::replay::balancer;

/// Port of the addresses that are made up for the VMs.
const PEER_PORT: u16 = 7_000;

/// Balancer of the gateway: a backend pool as in the daemon.
pub(super) struct BackendPoolBalancer(gateway::BackendPool);

impl BackendPoolBalancer {
    /// Creates a backend pool with the servers.
    pub(super) fn new(
        config: &configs::GatewayConfig,
        min_share_percent: u64,
        backends: &[sync::Arc<ports::Backend>],
    ) -> Self {
        let mut pool = gateway::BackendPool::new(
            config.suspicion.clone(),
            config.server_use.clone(),
            min_share_percent * 10,
        );
        pool.set_backends(0, backends.iter());
        Self(pool)
    }
}

impl balancer::Balancer for BackendPoolBalancer {
    fn choose(
        &mut self,
        now_ms: u64,
        request: &gateway::ChoiceRequest<'_>,
    ) -> Option<balancer::ChosenServer> {
        let choice = self.0.choose(now_ms, request)?;
        Some(balancer::ChosenServer {
            in_flight: choice.in_flight,
            is_probe: choice.is_probe,
            incarnation: choice.incarnation,
        })
    }

    fn record_request_end(&mut self, incarnation: u64) {
        self.0.record_request_end(incarnation);
    }

    fn mean_run_ms(&self, service: &str) -> f64 {
        self.0.mean_run_ms(service)
    }

    fn record_run_time(&mut self, service: &str, run_ms: f64) -> gateway::Evidence {
        self.0.record_run_time(service, run_ms)
    }

    fn record_evidence(
        &mut self,
        now_ms: u64,
        incarnation: u64,
        evidence: gateway::Evidence,
    ) -> bool {
        self.0.record_evidence(now_ms, incarnation, evidence)
    }

    fn record_peer_evidence(&mut self, now_ms: u64, incarnation: u64, evidence: gateway::Evidence) {
        self.0.record_peer_evidence(now_ms, incarnation, evidence);
    }

    fn record_begin(&mut self, now_ms: u64, service: &str) {
        self.0.record_begin(now_ms, service);
    }

    fn record_unserved(&mut self, now_ms: u64, service: &str) {
        self.0.record_unserved(now_ms, service);
    }

    fn record_shed(&mut self, now_ms: u64, incarnation: u64) {
        self.0.record_shed(now_ms, incarnation);
    }

    fn take_report(&mut self) -> Option<gateway::LoadReport> {
        let report = self.0.take_report();
        (!report.is_empty()).then_some(report)
    }

    fn apply_report(&mut self, now_ms: u64, from: usize, report: &gateway::LoadReport) {
        let ip = u32::try_from(from).unwrap_or(u32::MAX);
        let address = net::SocketAddr::from((net::Ipv4Addr::from(ip), PEER_PORT));
        self.0.apply_report(now_ms, address, report);
    }
}
