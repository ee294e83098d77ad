//! Replays the load of a scenario under each of its policies.

use std::{error, fs, process};

use gumdrop::Options as _;
use testbed::replay;

fn main() -> process::ExitCode {
    let args = replay::Args::parse_args_default_or_exit();
    match replay_all(&args) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            process::ExitCode::FAILURE
        }
    }
}

fn replay_all(args: &replay::Args) -> Result<(), Box<dyn error::Error>> {
    let scenario = replay::Scenario::load(&args.scenario)?;
    let figures: Vec<replay::Figures> = scenario
        .policies
        .iter()
        .map(|policy| {
            let mut sum = replay::Figures {
                policy: policy.name.clone(),
                services: Vec::new(),
            };
            for seed in scenario.seed..scenario.seed + args.seeds.max(1) {
                sum.add(&replay::run(&scenario, policy, seed));
            }
            sum
        })
        .collect();
    println!("{}, {} seeds", scenario.name, args.seeds.max(1));
    print!("{}", replay::table(&figures));
    if let Some(path) = &args.csv {
        fs::write(path, replay::csv(&figures))?;
    }
    if let Some(path) = &args.plot {
        replay::write_plot(path, &figures)?;
    }
    Ok(())
}
