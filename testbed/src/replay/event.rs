//! Events of a replay.

use std::sync;

use foxtailwinch::gateway;

use crate::replay::attempt_result;

/// An event of a replay.
#[derive(Clone, Debug)]
pub(super) enum Event {
    /// A caller's request arrives at its entry VM, for the first time or resent.
    Arrive { request: usize },
    /// A server finishes an attempt.
    EndRun { attempt: usize },
    /// Evidence about a server from another VM arrives at an entry VM.
    Evidence {
        evidence: gateway::Evidence,
        incarnation: u64,
        vm: usize,
    },
    /// The time has passed after which an attempt without a response counts as
    /// failed.
    Overdue { attempt: usize },
    /// An attempt arrives at its server.
    ReachServer { attempt: usize },
    /// The result of an attempt arrives at its entry VM.
    ReachVm {
        attempt: usize,
        result: attempt_result::AttemptResult,
    },
    /// A load report of another VM arrives at an entry VM.
    Report {
        from: usize,
        report: sync::Arc<gateway::LoadReport>,
        vm: usize,
    },
    /// A VM sends its load report to the other VMs of its region.
    SendReport { vm: usize },
    /// The caller's time-out for its `sent_count`th sending expires.
    TimeOut { request: usize, sent_count: u32 },
}
