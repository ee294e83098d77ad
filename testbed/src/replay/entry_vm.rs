//! An entry VM of a replay.

use std::sync;

use foxtailwinch::gateway;
use foxtailwinch::ports;

use crate::replay;
use crate::replay::board_placement;
use crate::replay::placement;
use crate::replay::plain_placement;

/// Thousandths in a hundredth.
const PERMILLE_PER_PERCENT: u64 = 10;
/// Milliseconds in a second.
const MILLISECONDS_PER_S: u64 = 1_000;

/// An entry VM of a replay.
pub(super) struct EntryVm<'a> {
    /// Its second attempts, by service.
    pub(super) retry_budgets: Vec<gateway::RetryBudget>,
    /// What its policy decides.
    pub(super) placement: Box<dyn placement::Placement>,
    /// Its region.
    pub(super) region: &'a str,
    /// Its availability zone.
    pub(super) zone: &'a str,
}

impl<'a> EntryVm<'a> {
    /// Gives an entry VM that knows the servers.
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
            placement: placement_of(scenario, policy, backends, seed),
            region,
            zone,
        }
    }
}

fn placement_of(
    scenario: &replay::Scenario,
    policy: &replay::Policy,
    backends: &[sync::Arc<ports::Backend>],
    seed: u64,
) -> Box<dyn placement::Placement> {
    if policy.choice == replay::ChoiceRule::Board {
        let settings = &policy.settings;
        let share_percent = scenario.min_share_percent;
        Box::new(board_placement::BoardPlacement::new(
            settings,
            share_percent,
            backends,
        ))
    } else {
        let placement = plain_placement::PlainPlacement::new(policy.choice, backends, seed);
        Box::new(placement)
    }
}
