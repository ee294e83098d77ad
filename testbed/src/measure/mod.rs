//! Measurements of the daemon's latency, memory and CPU time.

mod bundle_text;
mod capacity_args;
mod capacity_point;
mod latency_args;
mod latency_case;
mod latency_error;
mod latency_figures;
mod latency_load;
mod latency_run;
mod latency_settings;

pub use capacity_args::{CapacityArgs, CapacityRole};
pub use capacity_point::CapacityPoint;
pub use latency_args::LatencyArgs;
pub use latency_case::LatencyCase;
pub use latency_error::LatencyError;
pub use latency_figures::{CellFigures, LatencyFigures};
pub use latency_load::LatencyLoad;
pub use latency_run::LatencyRun;
pub use latency_settings::LatencySettings;
