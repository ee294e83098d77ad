//! Measures the memory and time that one daemon needs for a number of items,
//! such as servers or organisations.

use std::process;

use gumdrop::Options as _;
use testbed::measure;

fn main() -> process::ExitCode {
    let args = measure::CapacityArgs::parse_args_default_or_exit();
    match measure::CapacityPoint::measure(args.role, args.count) {
        Ok(point) => {
            let figures = point.figures.iter();
            let figures: Vec<String> = figures
                .map(|(name, value)| format!("{name}={value}"))
                .collect();
            println!("{}", figures.join(","));
            process::ExitCode::SUCCESS
        }
        Err(message) => {
            eprintln!("{message}");
            process::ExitCode::FAILURE
        }
    }
}
