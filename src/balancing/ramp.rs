//! Slow start of servers.

use crate::configs::balancing;

/// Returns the share of its normal work that a server should receive, in
/// permille.
///
/// While the server is cold, its weight is scaled by a factor that increases
/// linearly from `cold_start_permille` to 1000 permille during `cold_ramp_ms`.
pub(crate) fn ramped_weight_permille(
    config: &balancing::BalancingConfig,
    now_ms: u64,
    weight_permille: u32,
    cold_since_ms: Option<u64>,
) -> u32 {
    let Some(cold_since_ms) = cold_since_ms else {
        return weight_permille;
    };
    let warm_ms = now_ms.saturating_sub(cold_since_ms);
    if warm_ms >= config.cold_ramp_ms {
        return weight_permille;
    }
    let start_permille = u64::from(config.cold_start_permille.min(1_000));
    let ramp_permille = start_permille + (1_000 - start_permille) * warm_ms / config.cold_ramp_ms;
    let weight_permille = u64::from(weight_permille) * ramp_permille / 1_000;
    u32::try_from(weight_permille).unwrap_or(u32::MAX)
}
