//! Measures the detection time of faulty servers and the number of false
//! ejections, in virtual time.
//!
//! `cargo run --release --example detection_curves -- detection 1 [MODE [LOAD_PERMILLE [RUNS]]]` and
//! `… -- healthy 1 SHAPE WEIGHT LOAD_PERMILLE VM_COUNT HOURS` print CSV with
//! comment lines that begin with `#`. The second argument is the seed.

mod baselines;
mod gray_mode;
mod policy;
mod sequential_policy;
mod shape;
mod simulation;

use std::env;
use std::sync;
use std::sync::atomic;
use std::thread;

/// Virtual time before the fault at normal and at low load, in milliseconds. In
/// this time the reference latencies are learned and the first lease is taken.
const WARM_UP_MS: [u64; 2] = [30_000, 600_000];
/// Virtual time after the fault in which the faulty server must be ejected, at
/// normal and at low load, in milliseconds.
const DETECTION_LIMIT_MS: [u64; 2] = [60_000, 300_000];
/// Highest load that counts as low, in permille of the capacity.
const LOW_LOAD_PERMILLE: u32 = 100;
/// Default number of runs per line.
const DEFAULT_RUN_COUNT: u64 = 5;
const THREAD_COUNT: usize = 3;
const HOUR_MS: u64 = 3_600_000;
const LOADS_PERMILLE: [u32; 2] = [500, 20];
const WEIGHTS: [f64; 5] = [0.0, 0.2, 0.5, 0.8, 1.0];

#[derive(Clone, Copy, PartialEq)]
enum PolicyKind {
    ConsecutiveErrors,
    FixedWindow,
    HealthProbes,
    Sequential,
}

impl PolicyKind {
    fn label(self) -> &'static str {
        match self {
            Self::ConsecutiveErrors => "consecutive-errors",
            Self::FixedWindow => "fixed-window",
            Self::HealthProbes => "health-probes",
            Self::Sequential => "sequential",
        }
    }

    fn build(self, shape: &shape::Shape, seed: u64) -> Vec<Box<dyn policy::Policy>> {
        let seeds = (0..shape.vm_count).zip(seed * 1_000..);
        seeds
            .map(|(_, seed)| -> Box<dyn policy::Policy> {
                match self {
                    Self::ConsecutiveErrors => Box::new(baselines::ConsecutiveErrors::new(shape)),
                    Self::FixedWindow => Box::new(baselines::FixedWindow::new(shape)),
                    Self::HealthProbes => Box::new(baselines::HealthProbes::new(shape)),
                    Self::Sequential => {
                        Box::new(sequential_policy::SequentialPolicy::new(shape, seed))
                    }
                }
            })
            .collect()
    }
}

fn modes() -> Vec<gray_mode::GrayMode> {
    let mut modes = vec![
        gray_mode::GrayMode::Slow { factor: 2.0 },
        gray_mode::GrayMode::Slow { factor: 5.0 },
        gray_mode::GrayMode::Slow { factor: 20.0 },
    ];
    for permille in [10, 100, 500] {
        modes.push(gray_mode::GrayMode::Failing { permille });
        modes.push(gray_mode::GrayMode::Wrong { permille });
    }
    modes.push(gray_mode::GrayMode::HalfAlive);
    for period_ms in [1_000, 5_000, 20_000, 60_000] {
        modes.push(gray_mode::GrayMode::Flapping { period_ms });
    }
    modes.extend([
        gray_mode::GrayMode::Misleading,
        gray_mode::GrayMode::OneSide,
        gray_mode::GrayMode::Cold,
        gray_mode::GrayMode::ServiceWide { factor: 5.0 },
    ]);
    modes
}

#[derive(Clone)]
struct Job {
    kind: PolicyKind,
    mode: gray_mode::GrayMode,
    shape: shape::Shape,
}

fn detection_jobs() -> Vec<Job> {
    let mut jobs = Vec::new();
    for base in [shape::Shape::lebo(), shape::Shape::tazas()] {
        for load_permille in LOADS_PERMILLE {
            for mode in modes() {
                let shape = shape::Shape {
                    load_permille,
                    ..base.clone()
                };
                let sequential = WEIGHTS.map(|false_ejection_weight| Job {
                    kind: PolicyKind::Sequential,
                    mode,
                    shape: shape::Shape {
                        false_ejection_weight,
                        ..shape.clone()
                    },
                });
                jobs.extend(sequential);
                let kinds = [
                    PolicyKind::ConsecutiveErrors,
                    PolicyKind::FixedWindow,
                    PolicyKind::HealthProbes,
                ];
                jobs.extend(kinds.map(|kind| Job {
                    kind,
                    mode,
                    shape: shape.clone(),
                }));
            }
        }
    }
    jobs
}

fn run_detection(job: &Job, seed: u64, runs: u64) -> String {
    let is_low = usize::from(job.shape.load_permille <= LOW_LOAD_PERMILLE);
    let (warm_up_ms, detection_limit_ms) = (WARM_UP_MS[is_low], DETECTION_LIMIT_MS[is_low]);
    let reports: Vec<simulation::Report> = (0..runs)
        .map(|offset| {
            let seed = seed * 1_000 + offset;
            let policies = job.kind.build(&job.shape, seed);
            simulation::Simulation::new(&job.shape, job.mode, warm_up_ms, policies, seed)
                .run(warm_up_ms + detection_limit_ms, true)
        })
        .collect();
    let weight = if job.kind == PolicyKind::Sequential {
        job.shape.false_ejection_weight.to_string()
    } else {
        String::from("-")
    };
    let false_ejections: u64 = reports.iter().map(|report| report.false_ejections).sum();
    let bad_responses: u64 = reports.iter().map(|report| report.bad_responses).sum();
    format!(
        "{},{},{},{},{weight},{},{},{},{false_ejections},{}",
        job.shape.name,
        job.shape.load_permille,
        job.mode.label(),
        job.kind.label(),
        spread(&reports, |report| report.all_avoiding_ms),
        spread(&reports, |report| report.first_ejected_ms),
        spread(&reports, |report| report.all_ejected_ms),
        bad_responses / runs.max(1),
    )
}

/// Returns the median and the maximum of a time, and the number of runs in which
/// the event happened.
fn spread(reports: &[simulation::Report], field: fn(&simulation::Report) -> Option<u64>) -> String {
    let mut times_ms: Vec<u64> = reports.iter().filter_map(field).collect();
    times_ms.sort_unstable();
    let show = |time_ms: Option<&u64>| time_ms.map_or(String::from("-"), u64::to_string);
    format!(
        "{},{},{}",
        show(times_ms.get(times_ms.len() / 2)),
        show(times_ms.last()),
        times_ms.len()
    )
}

fn detection(seed: u64, filter: &str, load_permille: u32, runs: u64) {
    println!(
        "# {runs} runs a line, at most {DETECTION_LIMIT_MS:?} ms of virtual time after the fault, seed {seed}"
    );
    println!(
        "shape,load_permille,mode,policy,weight,steered_median_ms,steered_max_ms,steered_runs,\
         first_median_ms,first_max_ms,first_runs,out_median_ms,out_max_ms,out_runs,\
         false_ejections,bad_answers_mean"
    );
    let mut jobs = detection_jobs();
    jobs.retain(|job| job.mode.label().contains(filter));
    jobs.retain(|job| load_permille == 0 || job.shape.load_permille == load_permille);
    let next = atomic::AtomicUsize::new(0);
    let lines = sync::Mutex::new(vec![String::new(); jobs.len()]);
    thread::scope(|scope| {
        for _ in 0..THREAD_COUNT {
            scope.spawn(|| {
                loop {
                    let index = next.fetch_add(1, atomic::Ordering::SeqCst);
                    let Some(job) = jobs.get(index) else { break };
                    let line = run_detection(job, seed, runs);
                    if let Ok(mut lines) = lines.lock() {
                        lines[index] = line;
                    }
                }
            });
        }
    });
    for line in lines.into_inner().unwrap_or_default() {
        println!("{line}");
    }
}

fn healthy(seed: u64, shape: &shape::Shape, hours: u64) {
    println!(
        "# healthy servers, {hours} h of virtual time on each of {THREAD_COUNT} threads, seed {seed}"
    );
    println!("shape,load_permille,vms,weight,server_hours,requests,false_ejections");
    let reports = sync::Mutex::new(Vec::new());
    thread::scope(|scope| {
        for thread in 0..THREAD_COUNT {
            let reports = &reports;
            scope.spawn(move || {
                let seed = seed * 100 + u64::try_from(thread).unwrap_or(0);
                let policies = PolicyKind::Sequential.build(shape, seed);
                let mode = gray_mode::GrayMode::None;
                let report = simulation::Simulation::new(shape, mode, 0, policies, seed)
                    .run(hours * HOUR_MS, false);
                if let Ok(mut reports) = reports.lock() {
                    reports.push(report);
                }
            });
        }
    });
    let reports = reports.into_inner().unwrap_or_default();
    let requests: u64 = reports.iter().map(|report| report.requests).sum();
    let false_ejections: u64 = reports.iter().map(|report| report.false_ejections).sum();
    let server_hours = shape.server_count * THREAD_COUNT * usize::try_from(hours).unwrap_or(0);
    println!(
        "{},{},{},{},{server_hours},{requests},{false_ejections}",
        shape.name, shape.load_permille, shape.vm_count, shape.false_ejection_weight
    );
}

fn argument<T: std::str::FromStr>(position: usize, default: T) -> T {
    env::args()
        .nth(position)
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

fn main() {
    let table = argument(1, String::from("detection"));
    let seed = argument(2, 1);
    if table == "detection" {
        let filter: String = argument(3, String::new());
        detection(
            seed,
            &filter,
            argument(4, 0),
            argument(5, DEFAULT_RUN_COUNT),
        );
        return;
    }
    let base = match argument(3, String::from("tazas")).as_str() {
        "lebo" => shape::Shape::lebo(),
        _ => shape::Shape::tazas(),
    };
    let shape = shape::Shape {
        false_ejection_weight: argument(4, base.false_ejection_weight),
        load_permille: argument(5, base.load_permille),
        vm_count: argument(6, base.vm_count),
        ..base
    };
    healthy(seed, &shape, argument(7, 1));
}
