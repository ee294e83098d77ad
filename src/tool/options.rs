//! Commands and options of the command line.

use crate::tool::{
    bundle_check, bundle_diff, bundle_history, bundle_publish, bundle_roll_out, bundle_sign_off,
    bundle_status, fleet_status, rehearsal_list, rehearsal_report, rehearsal_schedule,
};

/// Last part of every help text.
pub const SHARED_HELP: &str = "\
Options of every command:
  --log URL           the log service, such as http://127.0.0.1:7300
  --output json|text  output format (default: text)
  --vm URL            operator port of a VM; may be repeated (default: all VMs in the VM list)

Exit codes: 0 success, 1 refused or another operator was first, 2 usage error,
3 log unavailable and nothing changed, 4 outcome unknown or not yet on all VMs.";

#[derive(Debug, gumdrop::Options)]
pub struct Options {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(command)]
    pub command: Option<Command>,
}

#[derive(Debug, gumdrop::Options)]
pub enum Command {
    #[options(help = "check, publish and roll out bundles")]
    Bundle(BundleOptions),
    #[options(help = "show the status of the entry VMs")]
    Fleet(FleetOptions),
    #[options(help = "schedule failure rehearsals and read their reports")]
    Rehearsal(RehearsalOptions),
}

#[derive(Debug, gumdrop::Options)]
pub struct BundleOptions {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(command)]
    pub command: Option<BundleCommand>,
}

#[derive(Debug, gumdrop::Options)]
pub enum BundleCommand {
    #[options(help = "check a bundle file")]
    Check(bundle_check::Options),
    #[options(help = "show the changes that a bundle file makes")]
    Diff(bundle_diff::Options),
    #[options(help = "list past roll-outs")]
    History(bundle_history::Options),
    #[options(help = "propose a bundle file")]
    Publish(bundle_publish::Options),
    #[options(help = "put a signed-off bundle in force and wait until all VMs apply it")]
    RollOut(bundle_roll_out::Options),
    #[options(help = "sign off a proposed bundle")]
    SignOff(bundle_sign_off::Options),
    #[options(help = "show the bundle in force and the open proposals")]
    Status(bundle_status::Options),
}

#[derive(Debug, gumdrop::Options)]
pub struct FleetOptions {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(command)]
    pub command: Option<FleetCommand>,
}

#[derive(Debug, gumdrop::Options)]
pub enum FleetCommand {
    #[options(help = "show the status of every VM")]
    Status(fleet_status::Options),
}

#[derive(Debug, gumdrop::Options)]
pub struct RehearsalOptions {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(command)]
    pub command: Option<RehearsalCommand>,
}

#[derive(Debug, gumdrop::Options)]
pub enum RehearsalCommand {
    #[options(help = "list rehearsals")]
    List(rehearsal_list::Options),
    #[options(help = "compare the fleet's state before and after a rehearsal")]
    Report(rehearsal_report::Options),
    #[options(help = "schedule a rehearsal")]
    Schedule(rehearsal_schedule::Options),
}
