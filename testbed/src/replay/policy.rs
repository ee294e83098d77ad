//! Policy of a scenario.

use foxtailwinch::configs;

use crate::replay;

/// A policy that the replay compares with the other policies of its scenario.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Policy {
    /// Rule by which servers are chosen.
    pub choice: replay::ChoiceRule,
    /// Name of the policy, for reports.
    pub name: String,
    /// Settings of the gateway; a missing setting has its default.
    #[serde(default)]
    pub settings: configs::GatewayConfig,
}
