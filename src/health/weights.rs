//! Share of its usual traffic that a server receives.

use crate::health;

/// Weight, in permille, of a server that is suspected but below the ejection
/// threshold. Reducing it to the trickle at once would leave the sequential
/// test without outcomes.
const SUSPECT_PERMILLE: u32 = 500;
/// Weights, in permille, of the probation steps after the trickle.
pub(super) const PROBATION_PERMILLE: [u32; 2] = [200, 500];

/// Returns the weight, in permille, for the server's phase and its suspicion
/// score.
pub(super) fn target_permille(
    tracker: &health::server_tracker::ServerTracker,
    fault: health::fault::Fault,
    thresholds: &health::Thresholds,
    trickle_permille: u32,
) -> u32 {
    let suspicion_milli = match fault {
        health::fault::Fault::Server => tracker
            .fleet_test
            .value_milli()
            .max(tracker.local_test.value_milli()),
        _ => tracker.local_test.value_milli(),
    };
    let steer_milli = thresholds.steer_milli();
    let phase_permille = match tracker.phase {
        health::phase::Phase::Ejected { .. } => return 0,
        health::phase::Phase::InService => health::server_tracker::FULL_PERMILLE,
        health::phase::Phase::Probation { step, .. } => step
            .checked_sub(1)
            .and_then(|step| PROBATION_PERMILLE.get(step).copied())
            .unwrap_or(trickle_permille),
    };
    let suspect_permille = if suspicion_milli >= thresholds.eject_milli() {
        trickle_permille
    } else if suspicion_milli >= steer_milli {
        SUSPECT_PERMILLE
    } else if suspicion_milli > steer_milli / 2 {
        tracker.weight_permille.max(trickle_permille)
    } else {
        health::server_tracker::FULL_PERMILLE
    };
    phase_permille.min(suspect_permille)
}
