//! Simulated entry VM around the gateway's own state machines.

use std::num;

use foxtailwinch::admission;
use foxtailwinch::balancing;
use foxtailwinch::bundle;
use foxtailwinch::configs;
use foxtailwinch::state_machine::StateMachine as _;

use super::scenario;

/// State of a server as known to an entry VM.
#[derive(Clone, Copy, Debug, Default)]
pub struct KnownServer {
    /// Whether the server is in the VM's list of servers.
    pub is_listed: bool,
    /// Number of requests in flight from this VM.
    pub own_in_flight: u32,
    /// Time of the last load report.
    pub reported_at_ms: u64,
    /// Last reported load; `None` before the first report.
    pub reported_load_permille: Option<u32>,
    /// Time of the last start or stop of the server's zone; `None` before the first.
    pub cold_since_ms: Option<u64>,
}

/// Simulated entry VM around the gateway's own state machines.
pub struct EntryVm {
    /// Client of the region's dispatcher.
    pub client: balancing::GrantClient,
    /// Gate that admits requests.
    pub gate: admission::ServiceGate,
    /// Picker that chooses servers without the dispatcher.
    pub picker: Box<dyn balancing::Picker>,
    /// Retry budget.
    pub retry_budget: admission::RetryBudget,
    /// Known state of each server.
    pub servers: Vec<KnownServer>,
    /// Index of the VM's availability zone; the region is the zone divided by two.
    pub zone: usize,
}

impl EntryVm {
    /// Creates a VM that lists all servers.
    pub fn new(scenario: &scenario::Scenario, index: usize) -> Self {
        let seed = scenario.seed ^ (index as u64 + 1);
        let admission_config = configs::admission::AdmissionConfig::default();
        let config = configs::balancing::BalancingConfig::default();
        let service = bundle::Service::default();
        let mut gate = admission::ServiceGate::new(&admission_config, &service, seed);
        let concurrent_requests = Self::share(scenario, &admission_config);
        gate.handle(
            0,
            admission::GateEvent::CapacityChanged {
                concurrent_requests,
            },
        );
        let listed_server = KnownServer {
            is_listed: true,
            ..KnownServer::default()
        };
        Self {
            client: balancing::GrantClient::new(&config),
            gate,
            picker: picker(scenario.policy, &config, seed),
            retry_budget: admission::RetryBudget::new(&admission_config, &service),
            servers: vec![listed_server; scenario.server_count],
            zone: index % 4,
        }
    }

    /// Returns the number of requests that the VM may run at the same time: its
    /// share of the slots of its region.
    fn share(scenario: &scenario::Scenario, config: &configs::admission::AdmissionConfig) -> u32 {
        let slots = u32::try_from(scenario.server_count).unwrap_or(u32::MAX) * scenario.slot_count;
        let region_slots = slots.div_ceil(2);
        let vms = u32::try_from(scenario.vm_count / 2).ok();
        let vms = vms.and_then(num::NonZeroU32::new);
        vms.map_or(region_slots, |vms| {
            admission::ServiceGate::vm_share_requests(config, region_slots, vms)
        })
    }
}

fn picker(
    policy: scenario::Policy,
    config: &configs::balancing::BalancingConfig,
    seed: u64,
) -> Box<dyn balancing::Picker> {
    match policy {
        scenario::Policy::LeastOutstanding => {
            Box::new(balancing::LeastOutstanding::new(config, seed))
        }
        scenario::Policy::UniformRandom => Box::new(balancing::UniformRandom::new(config, seed)),
        _ => Box::new(balancing::TwoChoices::new(config, seed)),
    }
}
