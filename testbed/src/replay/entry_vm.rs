//! Entry VM of a replay.

use std::sync;

use foxtailwinch::gateway;
use foxtailwinch::ports;

use crate::replay;
use crate::replay::backend_pool_balancer;
use crate::replay::balancer;
use crate::replay::baseline_balancer;

const PERMILLE_PER_PERCENT: u64 = 10;
const MILLISECONDS_PER_S: u64 = 1_000;

/// Entry VM of a replay.
pub(super) struct EntryVm<'a> {
    /// Retry budgets, by service.
    pub(super) retry_budgets: Vec<gateway::RetryBudget>,
    /// Balancer of the policy.
    pub(super) balancer: Box<dyn balancer::Balancer>,
    /// Region of the VM.
    pub(super) region: &'a str,
    /// Availability zone of the VM.
    pub(super) zone: &'a str,
}

impl<'a> EntryVm<'a> {
    /// Creates an entry VM that balances requests over `backends`.
    pub(super) fn new(
        scenario: &replay::Scenario,
        policy: &replay::Policy,
        backends: &[sync::Arc<ports::Backend>],
        seed: u64,
        (zone, region): (&'a str, &'a str),
    ) -> Self {
        let window_ms = scenario.retry.window_s * MILLISECONDS_PER_S;
        let ratio_permille = scenario.retry.ratio_percent * PERMILLE_PER_PERCENT;
        let retry_budget = gateway::RetryBudget::new(window_ms, ratio_permille);
        Self {
            retry_budgets: vec![retry_budget; scenario.services.len()],
            balancer: build_balancer(scenario, policy, backends, seed),
            region,
            zone,
        }
    }
}

fn build_balancer(
    scenario: &replay::Scenario,
    policy: &replay::Policy,
    backends: &[sync::Arc<ports::Backend>],
    seed: u64,
) -> Box<dyn balancer::Balancer> {
    if policy.choice == replay::ChoiceRule::BackendPool {
        let settings = &policy.settings;
        let share_percent = scenario.min_share_percent;
        Box::new(backend_pool_balancer::BackendPoolBalancer::new(
            settings,
            share_percent,
            backends,
        ))
    } else {
        let balancer = baseline_balancer::BaselineBalancer::new(policy.choice, backends, seed);
        Box::new(balancer)
    }
}
