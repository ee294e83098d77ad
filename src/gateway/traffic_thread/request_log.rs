//! What becomes of a request: log lines, counters, and evidence on its server.

use std::time;

use crate::gateway;
use crate::gateway::traffic_thread::answer;
use crate::gateway::traffic_thread::attempt;
use crate::gateway::traffic_thread::work;
use crate::verdict;

/// Notes a server's whole answer, and what it says of the server.
pub fn note_answer(
    shared: &gateway::Shared,
    work: &work::Work<'_>,
    choice: &gateway::Choice,
    answered: &answer::Answer,
    ran_ms: u64,
    version: u64,
) {
    let status = answered.status();
    #[expect(clippy::cast_precision_loss, reason = "times are far below 2^52 ms")]
    let latency_ms = ran_ms as f64;
    // A server's own 504 says that the request was long, not that it is bad.
    if status.is_server_error() && status != http::StatusCode::GATEWAY_TIMEOUT {
        shared.note_evidence(choice.lifetime, gateway::Evidence::Failure);
    } else if !status.is_server_error() {
        let evidence = shared.board().note_run_time(work.service, latency_ms);
        shared.note_evidence(choice.lifetime, evidence);
    }
    shared.metrics.record_ms("server.answer", ran_ms);
    let name = if status.is_server_error() {
        "request.server-failure"
    } else {
        "request.answered"
    };
    shared.metrics.counters.add(name);
    shared.journal.decision(name, || {
        format!(
            "id={} route={} configuration={version} service={} server={} status={} ran_ms={ran_ms} \
             left_ms={} candidates={} server_in_flight={} suspicion={:.2}",
            work.request_id,
            work.route.name,
            work.service,
            choice.backend.id,
            status.as_u16(),
            work.left_ms(),
            choice.candidate_count,
            choice.in_flight,
            choice.suspicion,
        )
    });
}

/// Notes an attempt without an answer, and what it says of the server.
pub fn note_failure(
    shared: &gateway::Shared,
    work: &work::Work<'_>,
    choice: &gateway::Choice,
    failure: attempt::AttemptFailure,
    ran_ms: u64,
) {
    let is_overdue = failure.reason == verdict::RefusalReason::DeadlineExceeded;
    if failure.end == gateway::AttemptEnd::Unanswered && !is_overdue {
        shared.note_evidence(choice.lifetime, gateway::Evidence::Failure);
    }
    if failure.is_death {
        shared.note_death(work.fingerprint, ran_ms, &choice.backend.id);
    }
    shared.metrics.counters.add("attempt.failed");
    shared.journal.decision("attempt.failed", || {
        format!(
            "id={} route={} service={} server={} end={:?} reason={} ran_ms={ran_ms} left_ms={} \
             server_in_flight={} suspicion={:.2}",
            work.request_id,
            work.route.name,
            work.service,
            choice.backend.id,
            failure.end,
            failure.reason.as_str(),
            work.left_ms(),
            choice.in_flight,
            choice.suspicion,
        )
    });
}

/// Notes the final answer to a request that was given up.
pub fn note_refusal(
    shared: &gateway::Shared,
    request_id: &str,
    refusal: &verdict::Refusal,
    took: time::Duration,
) {
    shared.metrics.counters.add_refusal(refusal);
    shared.journal.decision("request.refused", || {
        format!(
            "id={request_id} verdict={} reason={} retry_after_ms={} held_ms={}",
            refusal.verdict.as_str(),
            refusal.reason.as_str(),
            refusal.retry_after_ms,
            took.as_millis(),
        )
    });
}
