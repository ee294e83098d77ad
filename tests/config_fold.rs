//! Tests of the configuration fold and its replication between entry VMs.

#![allow(
    clippy::needless_raw_string_hashes,
    reason = "expect-test writes raw strings with hashes when it updates a snapshot"
)]

#[path = "config_fold/fixtures.rs"]
mod fixtures;
#[path = "config_fold/fleet.rs"]
mod fleet;
#[path = "config_fold/random_runs.rs"]
mod random_runs;
#[path = "config_fold/roll_out_times.rs"]
mod roll_out_times;
#[path = "config_fold/rules.rs"]
mod rules;
#[path = "config_fold/single_vm.rs"]
mod single_vm;
