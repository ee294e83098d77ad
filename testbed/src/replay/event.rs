//! What happens in a replay.

use std::sync;

use foxtailwinch::gateway;

use crate::replay::attempt_result;

/// What happens in a replay.
#[derive(Clone, Debug)]
pub(super) enum Event {
    /// A caller's request comes to its entry VM, first or once more.
    Arrive { request: usize },
    /// A server ends its work on an attempt.
    EndRun { attempt: usize },
    /// A failure that another VM has seen is told.
    Evidence {
        evidence: gateway::Evidence,
        incarnation: u64,
        vm: usize,
    },
    /// An attempt has no answer long after its usual time.
    Overdue { attempt: usize },
    /// An attempt comes to its server.
    ReachServer { attempt: usize },
    /// What became of an attempt comes back to its entry VM.
    ReachVm {
        attempt: usize,
        result: attempt_result::AttemptResult,
    },
    /// Another VM's report comes.
    Report {
        from: usize,
        report: sync::Arc<gateway::LoadReport>,
        vm: usize,
    },
    /// A VM tells the others of its requests.
    SendReport { vm: usize },
    /// The caller's time is up.
    TimeOut { request: usize, sent_count: u32 },
}
