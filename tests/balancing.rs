//! Tests of load balancing.

#[path = "balancing/choice.rs"]
mod choice;
#[path = "balancing/dispatch.rs"]
mod dispatch;
#[path = "balancing/pickers.rs"]
mod pickers;
#[path = "../examples/choosing_a_server/mod.rs"]
#[allow(dead_code, reason = "examples and other tests use the rest")]
mod simulation;
