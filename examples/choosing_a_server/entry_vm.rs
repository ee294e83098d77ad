//! A fake entry VM around the real cores.

use std::num;

use foxtailwinch::admission;
use foxtailwinch::balancing;
use foxtailwinch::bundle;
use foxtailwinch::configs;
use foxtailwinch::state_machine::StateMachine as _;

use super::scenario;

/// A server as this VM knows it.
#[derive(Clone, Copy, Debug, Default)]
pub struct KnownServer {
    /// Whether it is in this VM's list of servers.
    pub is_listed: bool,
    /// Requests in flight from this VM.
    pub own_in_flight: u32,
    /// When its load was reported.
    pub reported_at_ms: u64,
    /// The load it reported.
    pub reported_load_permille: Option<u32>,
    /// Since when it has been up again, while it is cold.
    pub cold_since_ms: Option<u64>,
}

/// A fake entry VM around the real cores.
pub struct EntryVm {
    /// Asks the dispatcher.
    pub client: balancing::GrantClient,
    /// Admits requests.
    pub gate: admission::ServiceGate,
    /// Picks servers.
    pub picker: Box<dyn balancing::Picker>,
    /// Allows retries.
    pub retry_budget: admission::RetryBudget,
    /// What it knows of each server.
    pub servers: Vec<KnownServer>,
    /// Its zone; the region is the zone divided by two.
    pub zone: usize,
}

impl EntryVm {
    /// Gives a VM that knows all servers.
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

    /// Gives the requests that the VM may run: its share of its region.
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
