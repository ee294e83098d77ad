//! Cases of overload for the measurement and the tests.

use super::simulation::fleet;
use super::simulation::scenario;

/// Behaviors of callers that retry.
pub const CALLERS: [scenario::Callers; 2] =
    [scenario::Callers::ComeBack, scenario::Callers::SendAgain];
/// Loads of a sweep, in percent of the capacity.
pub const LOADS_PERCENT: [u64; 6] = [50, 80, 100, 120, 150, 200];
/// Load before and after the overload, in percent of the capacity.
pub const NORMAL_PERCENT: u64 = 70;
/// Load during the overload, in percent of the capacity.
const OVERLOAD_PERCENT: u64 = 200;
/// Time at the start of a sweep that is not measured, in seconds.
const SWEEP_WARM_UP_S: usize = 5;

/// Times of a recovery case.
#[derive(Clone, Copy, Debug)]
pub struct Timeline {
    /// End of the case, in seconds.
    pub end_s: usize,
    /// Start and end of the overload or of the outage of a zone, in seconds.
    pub fault_s: (usize, usize),
}

/// Size of a service.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Name of the service.
    pub name: &'static str,
    /// Number of backend servers.
    pub server_count: usize,
    /// Number of requests that a server runs at the same time.
    pub slot_count: u32,
}

/// Sizes of a service of Lebo and of a service of Tazas.
pub const SHAPES: [Shape; 2] = [
    Shape {
        name: "bei",
        server_count: 10,
        slot_count: 6,
    },
    Shape {
        name: "caja",
        server_count: 12,
        slot_count: 2,
    },
];

/// Returns a scenario without load in which overload protection is on.
pub fn scenario(shape: Shape, seed: u64) -> scenario::Scenario {
    scenario::Scenario {
        attempts: 5,
        callers: scenario::Callers::ComeBack,
        deadline_ms: 500,
        dispatcher_outage_s: None,
        has_overload_protection: true,
        mean_run_ms: 20,
        phases: Vec::new(),
        policy: scenario::Policy::Dispatcher,
        seed,
        server_count: shape.server_count,
        slot_count: shape.slot_count,
        vm_count: 32,
        zone_outage_s: None,
    }
}

/// Returns the goodput per second at each load.
pub fn sweep(
    shape: Shape,
    callers: scenario::Callers,
    length_s: usize,
    seed: u64,
) -> Vec<(u64, u64)> {
    let goodputs = LOADS_PERCENT.into_iter().map(|load_percent| {
        let mut scenario = scenario(shape, seed);
        scenario.callers = callers;
        scenario.phases = vec![phase(length_s, load_percent)];
        let tally = fleet::Fleet::run(&scenario);
        (
            load_percent,
            tally.answered_per_s(SWEEP_WARM_UP_S, length_s),
        )
    });
    goodputs.collect()
}

/// Returns a scenario with a load of twice the capacity between two phases of
/// normal load.
pub fn load_falls(
    shape: Shape,
    callers: scenario::Callers,
    timeline: Timeline,
    seed: u64,
) -> (&'static str, scenario::Scenario) {
    let (from_s, to_s) = timeline.fault_s;
    let mut scenario = scenario(shape, seed);
    scenario.callers = callers;
    scenario.phases = vec![
        phase(from_s, NORMAL_PERCENT),
        phase(to_s - from_s, OVERLOAD_PERCENT),
        phase(timeline.end_s - to_s, NORMAL_PERCENT),
    ];
    ("load-falls", scenario)
}

/// Returns a scenario with normal load in which the servers of one zone are down
/// for some time.
pub fn zone_returns(
    shape: Shape,
    callers: scenario::Callers,
    timeline: Timeline,
    seed: u64,
) -> (&'static str, scenario::Scenario) {
    let mut scenario = scenario(shape, seed);
    scenario.callers = callers;
    scenario.phases = vec![phase(timeline.end_s, NORMAL_PERCENT)];
    let (from_s, to_s) = timeline.fault_s;
    scenario.zone_outage_s = Some((from_s as u64, to_s as u64));
    ("zone-returns", scenario)
}

const fn phase(duration_s: usize, load_percent: u64) -> scenario::Phase {
    scenario::Phase {
        duration_s: duration_s as u64,
        load_percent,
    }
}
