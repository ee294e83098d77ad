//! Start of the daemon and of its threads.

use std::process;
use std::sync;
use std::thread;

use gumdrop::Options as _;
use tokio::sync::mpsc;
use tokio::sync::watch;
use volo_http::server;

use crate::claims;
use crate::configs;
use crate::context;
use crate::daemon;
use crate::log_client;
use crate::peer;
use crate::telemetry;

/// Capacity of the control thread's event queue.
const CONTROL_QUEUE_CAPACITY: usize = 4_096;
/// Capacity of the control thread's queue of attempt outcomes.
const OUTCOME_QUEUE_CAPACITY: usize = 16_384;
/// Number of low bits of an incarnation that are random. The other bits are the
/// start time in milliseconds.
const INCARNATION_RANDOM_BITS: u32 = 20;
/// Exit code for invalid settings or an invalid command line.
const EXIT_USAGE: u8 = 2;
/// Exit code when the daemon cannot run.
const EXIT_FAILED: u8 = 1;

/// Runs the daemon with the arguments of the process.
#[must_use]
pub fn main() -> process::ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let options = match daemon::Options::parse_args_default(&arguments) {
        Ok(options) => options,
        Err(error) => return report_usage_error(&error.to_string()),
    };
    if options.help {
        println!("Usage: foxtailwinchd --settings FILE [--check]\n");
        println!("{}", daemon::Options::usage());
        return process::ExitCode::SUCCESS;
    }
    if options.settings.is_empty() {
        return report_usage_error("--settings FILE is missing");
    }
    let settings = match configs::DaemonConfig::load(&options.settings) {
        Ok(settings) => settings,
        Err(error) => return report_usage_error(&error.to_string()),
    };
    if options.check {
        println!("{}: settings are valid", options.settings);
        return process::ExitCode::SUCCESS;
    }
    match run(settings, context::Context::system()) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(message) => {
            telemetry::Event::PortFailed.error(&message);
            process::ExitCode::from(EXIT_FAILED)
        }
    }
}

fn report_usage_error(message: &str) -> process::ExitCode {
    eprintln!("foxtailwinchd: {message}");
    process::ExitCode::from(EXIT_USAGE)
}

/// Runs the daemon until it has left.
fn run(settings: configs::DaemonConfig, context: context::Context) -> Result<(), String> {
    let level = settings.log_level.parse().unwrap_or(log::LevelFilter::Info);
    let _ = telemetry::start_logger(level);
    let parts = DaemonParts::new(settings, context)?;
    let traffic_runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(parts.settings.traffic_thread_count)
        .thread_name("traffic")
        .enable_all()
        .build()
        .map_err(|error| error.to_string())?;
    // Claims and seals are part of handling requests, so the traffic threads
    // serve peers.
    traffic_runtime.spawn(serve_peers(
        parts.handler.clone(),
        parts.settings.peer_address,
    ));
    let (has_left_sender, has_left) = watch::channel(false);
    let (traffic, settings) = (
        sync::Arc::clone(&parts.traffic),
        sync::Arc::clone(&parts.settings),
    );
    let control_thread = thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || run_control(parts, &has_left_sender))
        .map_err(|error| error.to_string())?;
    let served = traffic_runtime.block_on(serve_callers(traffic, &settings, has_left));
    if let Err(message) = served {
        telemetry::Event::PortFailed.error(&message);
        return Err(message);
    }
    let _ = control_thread.join();
    // No request is in flight any more, so only idle connections are closed.
    traffic_runtime.shutdown_background();
    Ok(())
}

/// Components of the daemon before its threads are started.
struct DaemonParts {
    control: daemon::ControlParts,
    events: mpsc::Receiver<daemon::ControlEvent>,
    events_sender: daemon::ControlSender,
    handler: daemon::PeerHandler,
    outcomes: mpsc::Receiver<daemon::OutcomeReport>,
    settings: sync::Arc<configs::DaemonConfig>,
    traffic: sync::Arc<daemon::TrafficHandler>,
}

impl DaemonParts {
    fn new(settings: configs::DaemonConfig, context: context::Context) -> Result<Self, String> {
        let settings = sync::Arc::new(settings);
        let counters = sync::Arc::new(telemetry::Counters::new(settings.statsd_address));
        let identity = new_identity(&settings, &context);
        let peers = peer::PeerClients::default();
        let client = daemon::ServerClient::new().map_err(|error| error.to_string())?;
        let witness = daemon::ClaimWitness::new(&settings, &context, identity);
        let witness = sync::Arc::new(witness);
        let home = sync::Arc::new(daemon::ClaimHome::new(
            &settings,
            &context,
            identity,
            peers.clone(),
            sync::Arc::clone(&counters),
        ));
        let quarantine = sync::Arc::new(daemon::SharedQuarantine::new(&settings));
        let slot_server = sync::Arc::new(daemon::SlotServer::new(
            sync::Arc::clone(&settings),
            &context,
            peers.clone(),
        ));
        let slot_client = sync::Arc::new(daemon::SlotClient::new(
            sync::Arc::clone(&settings),
            &context,
            peers.clone(),
            sync::Arc::clone(&slot_server),
            sync::Arc::clone(&counters),
        ));
        let (outcome_sender, outcomes) = mpsc::channel(OUTCOME_QUEUE_CAPACITY);
        let runner = daemon::Runner::new(daemon::RunnerParts {
            client: client.clone(),
            clock: sync::Arc::clone(&context.clock),
            counters: sync::Arc::clone(&counters),
            organisation_gate: sync::Arc::new(daemon::OrganisationGate::new(&settings, &context)),
            outcomes: outcome_sender,
            quarantine: sync::Arc::clone(&quarantine),
            settings: sync::Arc::clone(&settings),
            slot_client: sync::Arc::clone(&slot_client),
            vm_gate: sync::Arc::new(daemon::VmGate::new(&settings, &context)),
        });
        let entry = daemon::KeyedEntry::new(daemon::KeyedEntryParts {
            client,
            clock: sync::Arc::clone(&context.clock),
            configs: settings.claims.clone(),
            counters: sync::Arc::clone(&counters),
            identity,
            peers: peers.clone(),
            witness: sync::Arc::clone(&witness),
        });
        let traffic = sync::Arc::new(daemon::TrafficHandler::new(daemon::TrafficHandlerParts {
            context: context.clone(),
            counters,
            entry,
            home,
            runner: sync::Arc::new(runner),
            settings: sync::Arc::clone(&settings),
        }));
        let log = log_client::HttpLogClient::new(settings.log_service_address, settings.log_client)
            .map_err(|error| error.to_string())?;
        let (events_sender, events) = mpsc::channel(CONTROL_QUEUE_CAPACITY);
        let events_sender = sync::Arc::new(events_sender);
        let control = daemon::ControlParts {
            context,
            events: sync::Arc::clone(&events_sender),
            identity,
            log: sync::Arc::new(log),
            peers,
            quarantine,
            settings: sync::Arc::clone(&settings),
            slot_client: sync::Arc::clone(&slot_client),
            slot_server: sync::Arc::clone(&slot_server),
            traffic: sync::Arc::clone(&traffic),
            witness: sync::Arc::clone(&witness),
        };
        let handler = daemon::PeerHandler {
            control: mpsc::Sender::clone(&events_sender),
            slot_client,
            slot_server,
            witness,
        };
        Ok(Self {
            control,
            events,
            events_sender,
            handler,
            outcomes,
            settings,
            traffic,
        })
    }
}

/// Creates an identity that no earlier process on this address had: the start
/// time, with random low bits in case the clock was set back.
fn new_identity(
    settings: &configs::DaemonConfig,
    context: &context::Context,
) -> claims::VmIdentity {
    let random_mask = (1 << INCARNATION_RANDOM_BITS) - 1;
    let started = context.clock.unix_ms() << INCARNATION_RANDOM_BITS;
    claims::VmIdentity {
        incarnation: started | (context.seed & random_mask),
        peer_address: settings.peer_address,
    }
}

/// Runs the control thread until the daemon has left.
fn run_control(parts: DaemonParts, has_left: &watch::Sender<bool>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let Ok(runtime) = runtime else {
        telemetry::Event::PortFailed.error("cannot start the control thread");
        return;
    };
    runtime.block_on(async move {
        let settings = sync::Arc::clone(&parts.settings);
        let events = sync::Arc::clone(&parts.events_sender);
        let operators = daemon::OperatorService {
            control: mpsc::Sender::clone(&events),
            counters: sync::Arc::clone(&parts.traffic.counters),
        };
        tokio::spawn(serve_operators(
            operators,
            settings.operator_address,
            has_left.subscribe(),
        ));
        let control = match daemon::Control::open(parts.control).await {
            Ok(control) => control,
            Err(error) => {
                exit_with_port_error(&format!("peer port {}: {error}", settings.peer_address))
            }
        };
        tokio::spawn(control.run(parts.events, parts.outcomes));
        telemetry::Event::Started.info(&format!(
            "{} serves callers on {}",
            settings.vm_id, settings.caller_address
        ));
        daemon::start_and_leave::leave::wait_for_leave(&settings, &events, &parts.traffic).await;
        let _ = has_left.send(true);
    });
}

/// Logs the error and ends the process, because the daemon cannot work without
/// its ports.
fn exit_with_port_error(message: &str) -> ! {
    telemetry::Event::PortFailed.error(message);
    process::exit(i32::from(EXIT_FAILED));
}

async fn serve_peers(handler: daemon::PeerHandler, address: std::net::SocketAddr) {
    if let Err(error) = handler.serve(address).await {
        exit_with_port_error(&format!("peer port {address}: {error}"));
    }
}

async fn serve_operators(
    service: daemon::OperatorService,
    address: std::net::SocketAddr,
    has_left: watch::Receiver<bool>,
) {
    let server =
        server::Server::new(service).register_shutdown_hook(|| Box::pin(wait_until_left(has_left)));
    let address = volo::net::Address::from(address);
    if let Err(error) = server.run(address.clone()).await {
        exit_with_port_error(&format!("operator port {address}: {error}"));
    }
}

/// Returns the maximum number of headers that the HTTP library parses. The
/// library refuses larger requests without a verdict, so this maximum must be
/// above the daemon's own limit.
#[must_use]
pub const fn parser_header_limit(settings: &configs::DaemonConfig) -> usize {
    settings.max_header_count.saturating_mul(4)
}

/// Serves callers until the daemon has left.
async fn serve_callers(
    traffic: sync::Arc<daemon::TrafficHandler>,
    settings: &configs::DaemonConfig,
    has_left: watch::Receiver<bool>,
) -> Result<(), String> {
    let service = daemon::CallerService { traffic };
    let hook_has_left = has_left.clone();
    let mut server = server::Server::new(service)
        .http1_only()
        .register_shutdown_hook(|| Box::pin(wait_until_left(hook_has_left)));
    server
        .http1_config()
        .set_max_headers(parser_header_limit(settings));
    let address = volo::net::Address::from(settings.caller_address);
    tokio::select! {
        result = server.run(address) => {
            result.map_err(|error| format!("caller port {}: {error}", settings.caller_address))
        }
        () = wait_until_left(has_left) => Ok(()),
    }
}

async fn wait_until_left(mut has_left: watch::Receiver<bool>) {
    let _ = has_left.wait_for(|has_left| *has_left).await;
}
