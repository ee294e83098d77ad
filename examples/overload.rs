//! Measures goodput under overload and the recovery from it.
//!
//! `cargo run --release --example overload [SEED]` prints CSV; goodput is the
//! number of responses within the deadline per second.

#[path = "overload/cases.rs"]
mod cases;
#[path = "choosing_a_server/mod.rs"]
#[allow(dead_code, reason = "other examples and tests use the rest")]
mod simulation;

use std::env;
use std::error;

use simulation::fleet;

const DEFAULT_SEED: u64 = 20_261_204;
const SWEEP_S: usize = 20;
const TIMELINE: cases::Timeline = cases::Timeline {
    end_s: 60,
    fault_s: (10, 30),
};

fn main() -> Result<(), Box<dyn error::Error>> {
    let seed = match env::args().nth(1) {
        Some(seed) => seed.parse()?,
        None => DEFAULT_SEED,
    };
    println!("seed {seed}");
    print_sweeps(seed);
    print_recoveries(seed);
    Ok(())
}

fn print_sweeps(seed: u64) {
    println!("shape,callers,load_percent,goodput_per_s,capacity_per_s,percent_of_peak");
    for shape in cases::SHAPES {
        for callers in cases::CALLERS {
            let goodputs = cases::sweep(shape, callers, SWEEP_S, seed);
            let peak = goodputs.iter().map(|(_, goodput)| *goodput).max();
            let peak = peak.unwrap_or(0).max(1);
            let capacity = cases::scenario(shape, seed).capacity_per_s();
            for (load_percent, goodput) in goodputs {
                let percent = goodput * 100 / peak;
                let shape = shape.name;
                println!("{shape},{callers:?},{load_percent},{goodput},{capacity},{percent}");
            }
        }
    }
}

fn print_recoveries(seed: u64) {
    println!("shape,case,guarded,callers,second,goodput_per_s,first_attempts_answered_permille");
    for shape in cases::SHAPES {
        for has_overload_protection in [false, true] {
            for callers in cases::CALLERS {
                for case in [cases::load_falls, cases::zone_returns] {
                    let (name, mut scenario) = case(shape, callers, TIMELINE, seed);
                    scenario.has_overload_protection = has_overload_protection;
                    let tally = fleet::Fleet::run(&scenario);
                    for second in (0..TIMELINE.end_s).step_by(5) {
                        let goodput = tally.answered_per_s(second, second + 5);
                        let first = tally.first_answered_permille(second, second + 5);
                        let shape = shape.name;
                        println!(
                            "{shape},{name},{has_overload_protection},{callers:?},{second},{goodput},{first}"
                        );
                    }
                }
            }
        }
    }
}
