//! The request-handling part of an entry VM.

use std::net;
use std::sync;
use std::thread;
use std::time;

use foxtailwinch::claims;
use foxtailwinch::config_fold;
use foxtailwinch::configs;
use foxtailwinch::context;
use foxtailwinch::daemon;
use foxtailwinch::peer;
use foxtailwinch::routing;
use foxtailwinch::telemetry;
use tokio::sync::mpsc;
use volo::net::incoming;
use volo_http::server;

use super::fixtures;
use super::loopback;
use super::scripted_server;
use super::wait;

/// Seed of the VM's random choices.
const SEED: u64 = 7;
/// Time between two ticks of the home.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(10);
/// Capacity of the channels of control events and of outcomes. The tests never
/// read these channels.
const CHANNEL_CAPACITY_COUNT: usize = 1_024;

/// The request-handling part of an entry VM, on free ports.
pub struct Vm {
    /// Address of the port for callers.
    pub address: net::SocketAddr,
    /// Identity of this VM towards other VMs.
    pub identity: claims::VmIdentity,
    /// Handler of the requests that arrive at this VM.
    pub traffic: sync::Arc<daemon::TrafficHandler>,
    _events: mpsc::Receiver<daemon::ControlEvent>,
    _outcomes: mpsc::Receiver<daemon::OutcomeReport>,
}

impl Vm {
    /// Starts a VM that has no configuration. `extra_settings` are lines of the
    /// settings file.
    pub async fn start(extra_settings: &str) -> Self {
        let listener = loopback::listen().await;
        let address = listener.local_addr().expect("an address");
        let identity = claims::VmIdentity {
            incarnation: 1,
            peer_address: unused_address().await,
        };
        let parts = SharedParts::new(
            fixtures::settings(address, identity, extra_settings),
            identity,
        );
        let (traffic, outcomes) = parts.traffic();
        let (control, events) = mpsc::channel(CHANNEL_CAPACITY_COUNT);
        let handler = daemon::PeerHandler {
            control,
            slot_client: sync::Arc::clone(&parts.slot_client),
            slot_server: sync::Arc::clone(&parts.slot_server),
            witness: sync::Arc::clone(&parts.witness),
        };
        tokio::spawn(handler.serve(identity.peer_address));
        let service = daemon::CallerService {
            traffic: sync::Arc::clone(&traffic),
        };
        let incoming = incoming::DefaultIncoming::from(listener);
        let mut server = server::Server::new(service).http1_only();
        // The daemon sets the same limit when it starts.
        server
            .http1_config()
            .set_max_headers(daemon::parser_header_limit(&parts.settings));
        tokio::spawn(server.run(incoming));
        wait_for_port(identity.peer_address).await;
        tokio::spawn(tick(sync::Arc::clone(&traffic.home)));
        Self {
            address,
            identity,
            traffic,
            _events: events,
            _outcomes: outcomes,
        }
    }

    /// Starts a VM whose service has the servers at `addresses`.
    pub async fn start_with_servers(addresses: &[net::SocketAddr]) -> Self {
        Self::start_with_settings(addresses, "").await
    }

    /// Starts a VM whose service has the servers at `addresses`, with
    /// additional lines of the settings file.
    pub async fn start_with_settings(addresses: &[net::SocketAddr], extra_settings: &str) -> Self {
        let vm = Self::start(extra_settings).await;
        vm.configure(addresses);
        vm
    }

    /// Starts a VM whose service has one server.
    pub async fn start_with_one_server(server: &scripted_server::ScriptedServer) -> Self {
        Self::start_with_servers(&[server.listen().await]).await
    }

    /// Starts a VM whose service has two servers that share one script and one
    /// log.
    pub async fn start_with_two_servers(server: &scripted_server::ScriptedServer) -> Self {
        Self::start_with_servers(&[server.listen().await, server.listen().await]).await
    }

    /// Returns the header of an idempotency key whose home is this VM.
    pub fn key_header(&self, witness: &Self, key_suffix: &str) -> String {
        let prefix = self.traffic.home.prefix_for(witness.identity).encode();
        format!("idempotency-key: {prefix}.{key_suffix}")
    }

    /// Makes this VM send a prefix for new keys in its refusals.
    pub fn offer_prefix(&self, witness: &Self) {
        let prefix = self.traffic.home.prefix_for(witness.identity).encode();
        self.update_snapshot(|snapshot| snapshot.own_key_prefix = Some(prefix));
    }

    /// Adds `other` to the entry VMs that this VM knows, with `caller_address`
    /// as its address for callers.
    pub fn add_entry_vm(&self, other: &Self, caller_address: net::SocketAddr) {
        let entry_vm = daemon::EntryVm {
            availability_zone: "kariakoo".to_owned(),
            caller_address,
            peer_address: other.identity.peer_address,
            region: "pwani".to_owned(),
            vm_id: "vm-2".to_owned(),
        };
        self.update_snapshot(|snapshot| {
            snapshot.entry_vms.insert(entry_vm.peer_address, entry_vm);
        });
    }

    /// Returns the value of the counter `name`, or 0 if nothing was counted.
    pub fn counter(&self, name: &str) -> u64 {
        let counts = self.traffic.counters.snapshot();
        counts.get(name).copied().unwrap_or_default()
    }

    fn update_snapshot(&self, change: impl FnOnce(&mut daemon::Snapshot)) {
        let mut snapshot = daemon::Snapshot::clone(&self.traffic.snapshot.load());
        change(&mut snapshot);
        self.traffic.snapshot.store(sync::Arc::new(snapshot));
    }

    fn configure(&self, addresses: &[net::SocketAddr]) {
        let bundle = sync::Arc::new(fixtures::bundle(addresses));
        let definition = sync::Arc::new(bundle.services["agizo"].clone());
        let settings = fixtures::settings(self.address, self.identity, "");
        let context = context();
        let service = daemon::ServiceRuntime::new(
            "agizo",
            sync::Arc::clone(&definition),
            &settings,
            &context,
        );
        let placement = daemon::Placement {
            availability_zone: "kariakoo",
            entry_vm_count: 1,
            region: "pwani",
        };
        service.update(definition, placement);
        let service = sync::Arc::new(service);
        let configuration = daemon::Configuration {
            dispatchers: indexmap::IndexMap::new(),
            routes: sync::Arc::new(routing::RouteTable::build(&bundle)),
            in_force: config_fold::InForce {
                bundle,
                offset: 0,
                version: "v1".to_owned(),
            },
            services: [("agizo".to_owned(), service)].into(),
        };
        let configuration = sync::Arc::new(configuration);
        self.update_snapshot(|snapshot| snapshot.configuration = Some(configuration));
    }
}

impl Drop for Vm {
    /// Prints the counters if the test fails.
    fn drop(&mut self) {
        if thread::panicking() {
            println!("{}: {:?}", self.address, self.traffic.counters.snapshot());
        }
    }
}

/// State that the handlers of callers' requests and of peer calls share.
struct SharedParts {
    context: context::Context,
    identity: claims::VmIdentity,
    settings: sync::Arc<configs::DaemonConfig>,
    witness: sync::Arc<daemon::ClaimWitness>,
    slot_client: sync::Arc<daemon::SlotClient>,
    slot_server: sync::Arc<daemon::SlotServer>,
}

impl SharedParts {
    fn new(settings: configs::DaemonConfig, identity: claims::VmIdentity) -> Self {
        let context = context();
        let witness = daemon::ClaimWitness::new(&settings, &context, identity);
        let settings = sync::Arc::new(settings);
        let peers = peer::PeerClients::default();
        let slot_server = sync::Arc::new(daemon::SlotServer::new(
            sync::Arc::clone(&settings),
            &context,
            peers.clone(),
        ));
        let slot_client = daemon::SlotClient::new(
            sync::Arc::clone(&settings),
            &context,
            peers,
            sync::Arc::clone(&slot_server),
            sync::Arc::new(telemetry::Counters::new(None)),
        );
        Self {
            context,
            identity,
            settings,
            slot_client: sync::Arc::new(slot_client),
            slot_server,
            witness: sync::Arc::new(witness),
        }
    }

    fn traffic(
        &self,
    ) -> (
        sync::Arc<daemon::TrafficHandler>,
        mpsc::Receiver<daemon::OutcomeReport>,
    ) {
        let (settings, context) = (&self.settings, &self.context);
        let counters = sync::Arc::new(telemetry::Counters::new(None));
        let client = daemon::ServerClient::new().expect("a client");
        let peers = peer::PeerClients::default();
        let home = daemon::ClaimHome::new(
            settings,
            context,
            self.identity,
            peers.clone(),
            sync::Arc::clone(&counters),
        );
        let (outcomes, outcomes_receiver) = mpsc::channel(CHANNEL_CAPACITY_COUNT);
        let runner = daemon::Runner::new(daemon::RunnerParts {
            client: client.clone(),
            clock: sync::Arc::clone(&context.clock),
            counters: sync::Arc::clone(&counters),
            organisation_gate: sync::Arc::new(daemon::OrganisationGate::new(settings, context)),
            outcomes,
            quarantine: sync::Arc::new(daemon::SharedQuarantine::new(settings)),
            settings: sync::Arc::clone(settings),
            slot_client: sync::Arc::clone(&self.slot_client),
            vm_gate: sync::Arc::new(daemon::VmGate::new(settings, context)),
        });
        let entry = daemon::KeyedEntry::new(daemon::KeyedEntryParts {
            client,
            clock: sync::Arc::clone(&context.clock),
            configs: settings.claims.clone(),
            counters: sync::Arc::clone(&counters),
            identity: self.identity,
            peers,
            witness: sync::Arc::clone(&self.witness),
        });
        let traffic = daemon::TrafficHandler::new(daemon::TrafficHandlerParts {
            context: context.clone(),
            counters,
            entry,
            home: sync::Arc::new(home),
            runner: sync::Arc::new(runner),
            settings: sync::Arc::clone(settings),
        });
        (sync::Arc::new(traffic), outcomes_receiver)
    }
}

fn context() -> context::Context {
    context::Context {
        clock: sync::Arc::new(context::SystemClock::new()),
        seed: SEED,
    }
}

/// Returns an address that refuses connections and that no other test uses.
pub async fn unused_address() -> net::SocketAddr {
    let listener = loopback::listen().await;
    listener.local_addr().expect("an address")
}

/// Calls the home's `tick` at regular intervals, as the control thread does.
async fn tick(home: sync::Arc<daemon::ClaimHome>) {
    loop {
        home.tick();
        tokio::time::sleep(TICK_INTERVAL).await;
    }
}

async fn wait_for_port(address: net::SocketAddr) {
    let connecting = async {
        while tokio::net::TcpStream::connect(address).await.is_err() {
            tokio::task::yield_now().await;
        }
    };
    let connected = tokio::time::timeout(wait::TIMEOUT, connecting).await;
    assert!(connected.is_ok(), "{address} accepts no connections");
}
