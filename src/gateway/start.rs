//! Start and shutdown of the gateway's threads.

use std::io;
use std::sync;
use std::thread;

use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::runtime;
use tokio::signal::unix;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::admission;
use crate::configs;
use crate::context;
use crate::gateway;
use crate::gateway::control_thread::control;
use crate::gateway::control_thread::control_event;
use crate::gateway::control_thread::fleet_service;
use crate::gateway::leave;
use crate::gateway::traffic_thread::caller_listener;
use crate::gateway::traffic_thread::proxy;
use crate::gateway::traffic_thread::request_queues;
use crate::gateway::traffic_thread::status_endpoints;
use crate::health;
use crate::membership;
use crate::telemetry;

/// Number of requests with unknown keys that wait for a newer or confirmed configuration at
/// the same time. Callers may send any number of such requests.
const MAX_IDENTIFICATION_WAITS: usize = 64;
/// Maximum number of messages that wait to be sent to other entry VMs.
const OUTBOX_CAPACITY: usize = 512;
/// Identifies the random stream of the gateway's membership.
const RANDOM_STREAM: u64 = 0x6761_7465;
/// Time that a suspected VM has to refute the suspicion, in milliseconds.
/// Suspected VMs are removed from the entry points at once.
const SUSPICION_TIMEOUT_MS: u64 = 5_000;

/// Source of the settings that can be reloaded.
pub trait SettingsSource: Send + Sync {
    /// Reads the identity and addresses of this VM.
    ///
    /// # Errors
    ///
    /// Returns the file, the field and the expected value if the settings cannot be
    /// read.
    fn read(&self) -> Result<gateway::Identity, String>;
}

/// Parts that the gateway is started with.
pub struct GatewayParts {
    /// Limits set by the contract with the platform.
    pub bounds: gateway::GatewayBounds,
    /// Settings of the gateway.
    pub config: configs::GatewayConfig,
    /// Clock and random seed.
    pub context: context::Context,
    /// Identity and addresses of this VM.
    pub identity: gateway::Identity,
    /// Interfaces that the platform provides.
    pub ports: gateway::GatewayPorts,
    /// Source of the settings for a reload.
    pub settings: sync::Arc<dyn SettingsSource>,
}

/// Serves requests until the process is asked to stop and has shut down
/// gracefully.
///
/// # Errors
///
/// Returns the operating system's error if a thread cannot be started or a port
/// cannot be opened.
pub fn run(parts: GatewayParts) -> io::Result<()> {
    let (outbox, outgoing) = mpsc::channel(OUTBOX_CAPACITY);
    let (closing, is_closing) = watch::channel(false);
    let platform = parts.ports.clone();
    let context = parts.context.clone();
    let settings = sync::Arc::clone(&parts.settings);
    let shared = sync::Arc::new(shared(parts, outbox));
    let identity = &shared.identity;
    telemetry::Event::Started.info(&format!(
        "name=started vm={} zone={} region={} callers={} peers={} seeds={}",
        identity.vm_name,
        identity.availability_zone,
        identity.region,
        identity.caller_address,
        identity.peer_address,
        identity.seeds.len(),
    ));
    let traffic = sync::Arc::clone(&shared);
    thread::Builder::new()
        .name("traffic".to_owned())
        .spawn(move || {
            if let Err(error) = run_traffic(traffic, is_closing) {
                telemetry::Event::PortFailed.error(&format!("name=port.failed error=\"{error}\""));
                std::process::exit(1);
            }
        })?;
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(run_control(
        shared, platform, &context, settings, outgoing, closing,
    ))
}

fn shared(parts: GatewayParts, outbox: mpsc::Sender<gateway::FleetMessage>) -> gateway::Shared {
    let min_share_permille = parts.bounds.min_share_permille;
    let suspicion = parts.config.suspicion.clone();
    let server_use = parts.config.server_use.clone();
    let now_ms = parts.context.clock.now_ms();
    let memory_bytes = parts.identity.resources.memory_bytes;
    let memory = gateway::HeldMemory::new(sync::Arc::clone(&parts.context.clock), memory_bytes);
    let allowance_bounds = admission::AllowanceBounds {
        overshoot_permille: parts.bounds.allowance_overshoot_permille,
        slack_count: parts.bounds.allowance_slack_count,
        window_ms: parts.bounds.allowance_window_ms,
    };
    let backend_pool = gateway::BackendPool::new(suspicion, server_use, min_share_permille);
    gateway::Shared {
        allowances: sync::Mutex::new(admission::FleetAllowances::new(
            allowance_bounds,
            rand::random(),
        )),
        backend_pool: sync::Mutex::new(backend_pool),
        bounds: parts.bounds,
        clock: parts.context.clock,
        config: parts.config,
        connections: gateway::BackendConnections::default(),
        entry_points: parts.ports.entry_points,
        headers: parts.ports.headers,
        identity: parts.identity,
        identification_waits: tokio::sync::Semaphore::new(MAX_IDENTIFICATION_WAITS),
        in_flight: sync::atomic::AtomicUsize::new(0),
        leave: gateway::LeaveState::default(),
        decision_log: telemetry::DecisionLog::new(),
        memory,
        metrics: gateway::Metrics::new(),
        organisation_labels: sync::Mutex::new(gateway::OrganisationLabels::default()),
        outbox,
        pause_detector: sync::Mutex::new(gateway::PauseDetector::new(now_ms)),
        quarantine: sync::Mutex::new(health::Quarantine::new(&configs::HealthConfig::default())),
        relay_connections: gateway::BackendConnections::default(),
        relay_peers: sync::Mutex::new(gateway::RelayPeers::default()),
        request_queues: gateway::RequestQueues::default(),
        retry_budgets: sync::Mutex::new(indexmap::IndexMap::new()),
        run_times: sync::Mutex::new(gateway::RunTimes::default()),
        server_reach: sync::Mutex::new(gateway::ServerReach::default()),
        servers_lost: tokio::sync::Notify::new(),
        snapshot: arc_swap::ArcSwap::default(),
    }
}

fn run_traffic(
    shared: sync::Arc<gateway::Shared>,
    closing: watch::Receiver<bool>,
) -> io::Result<()> {
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async move {
        let identity = &shared.identity;
        let callers = caller_listener::listen(identity.caller_address)?;
        let entry_points = caller_listener::listen(identity.entry_point_address)?;
        let readiness = caller_listener::listen(identity.readiness_address)?;
        let status = status_service(&shared);
        for listener in [entry_points, readiness] {
            let never_closing = watch::channel(false).1;
            let serving = caller_listener::serve(
                sync::Arc::clone(&shared),
                listener,
                status.clone(),
                never_closing,
            );
            tokio::spawn(serving);
        }
        tokio::spawn(request_queues::check_regularly(sync::Arc::clone(&shared)));
        let request_shared = sync::Arc::clone(&shared);
        let requests = caller_listener::Service {
            handler: sync::Arc::new(move |request| {
                Box::pin(proxy::serve(sync::Arc::clone(&request_shared), request))
            }),
            is_awaited: true,
        };
        caller_listener::serve(sync::Arc::clone(&shared), callers, requests, closing).await;
        // Keeps the runtime alive for the connections that are still open.
        std::future::pending::<()>().await;
        Ok(())
    })
}

fn status_service(shared: &sync::Arc<gateway::Shared>) -> caller_listener::Service {
    let shared = sync::Arc::clone(shared);
    let handler: caller_listener::Handler = sync::Arc::new(move |request| {
        let response = status_endpoints::respond(&shared, &request);
        Box::pin(std::future::ready(response))
    });
    caller_listener::Service {
        handler,
        is_awaited: false,
    }
}

async fn run_control(
    shared: sync::Arc<gateway::Shared>,
    ports: gateway::GatewayPorts,
    context: &context::Context,
    settings: sync::Arc<dyn SettingsSource>,
    outgoing: mpsc::Receiver<gateway::FleetMessage>,
    closing: watch::Sender<bool>,
) -> io::Result<()> {
    let mut stops = unix::signal(unix::SignalKind::terminate())?;
    let mut interrupts = unix::signal(unix::SignalKind::interrupt())?;
    let mut reloads = unix::signal(unix::SignalKind::hangup())?;
    let identity = &shared.identity;
    let socket = UdpSocket::bind(identity.peer_address).await?;
    let peers = TcpListener::bind(identity.peer_address).await?;
    let membership = membership(identity, context);
    let (control, events) =
        control::Control::new(sync::Arc::clone(&shared), &ports, socket, membership);
    let sender = control.events();
    tokio::spawn(fleet_service::serve(peers, control.state_source()));
    if let Some(address) = identity.metrics_address {
        match caller_listener::listen(address) {
            Ok(listener) => {
                let never_closing = watch::channel(false).1;
                let serving = caller_listener::serve(
                    sync::Arc::clone(&shared),
                    listener,
                    status_service(&shared),
                    never_closing,
                );
                tokio::spawn(serving);
            }
            Err(error) => telemetry::Event::PortFailed.warn(&format!(
                "name=metrics.unavailable address={address} error=\"{error}\""
            )),
        }
    }
    tokio::spawn(control.run(events, outgoing));
    loop {
        tokio::select! {
            _ = stops.recv() => break,
            _ = interrupts.recv() => break,
            _ = reloads.recv() => reload(&shared, settings.as_ref(), &sender).await,
        }
    }
    leave::begin(&shared);
    let _ = sender.send(control_event::ControlEvent::Leave).await;
    leave::leave(&shared, &closing).await;
    Ok(())
}

async fn reload(
    shared: &gateway::Shared,
    settings: &dyn SettingsSource,
    control: &mpsc::Sender<control_event::ControlEvent>,
) {
    match settings.read() {
        Ok(identity) => {
            let needs_restart = gateway::Identity {
                seeds: shared.identity.seeds.clone(),
                ..identity.clone()
            } != shared.identity;
            telemetry::Event::SettingsReloaded.info(&format!(
                "name=settings.reloaded seeds={} needs_restart={needs_restart}",
                identity.seeds.len()
            ));
            let event = control_event::ControlEvent::SeedsChanged(identity.seeds);
            let _ = control.send(event).await;
        }
        Err(error) => telemetry::Event::SettingsReloaded
            .warn(&format!("name=settings.reload-failed error=\"{error}\"")),
    }
}

fn membership(identity: &gateway::Identity, context: &context::Context) -> membership::Membership {
    let own = membership::Member {
        address: identity.peer_address,
        availability_zone: identity.availability_zone.clone(),
        caller_address: identity.caller_address,
        incarnation: context.clock.unix_ms(),
        region: identity.region.clone(),
        state: membership::MemberState::Alive,
        version: 0,
        vm_id: identity.vm_name.clone(),
    };
    let config = configs::MembershipConfig {
        suspicion_timeout_ms: SUSPICION_TIMEOUT_MS,
        ..configs::MembershipConfig::default()
    };
    membership::Membership::new(config, own, context.random(RANDOM_STREAM))
}
