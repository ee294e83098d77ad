//! Tests of the history check: each kind of violation is found.

use expect_test::expect;
use foxtailwinch::verdict;
use testbed::{backend, caller, history};

fn run(server: &str, key: &str) -> backend::RunRecord {
    backend::RunRecord {
        finished: backend::RunOutcome::Answered,
        fingerprint: "f".to_owned(),
        idempotency_key: Some(key.to_owned()),
        request_id: format!("id-{key}"),
        run: 0,
        server: server.to_owned(),
        started_unix_ms: 0,
    }
}

fn attempt(outcome: &str, key: &str) -> caller::HistoryRecord {
    caller::HistoryRecord {
        attempt: 1,
        body_sha256: "f".to_owned(),
        entry: None,
        key: Some(key.to_owned()),
        organisation: "organisation-1".to_owned(),
        outcome: outcome.to_owned(),
        reason: None,
        request_id: format!("id-{key}"),
        request_index: 0,
        server: Some("bei-1".to_owned()),
        started_unix_ms: 0,
        unix_ms: 0,
        verdict: None,
    }
}

fn not_run(key: &str) -> caller::HistoryRecord {
    caller::HistoryRecord {
        verdict: Some(verdict::RunVerdict::NotRun),
        ..attempt("refused", key)
    }
}

fn violations(
    attempts: Vec<caller::HistoryRecord>,
    runs: Vec<backend::RunRecord>,
    allow_missing_runs: bool,
) -> String {
    let mut check = history::HistoryCheck::new(allow_missing_runs);
    check.add_attempts(attempts);
    check.add_runs(runs);
    let found = check.violations().into_iter();
    found
        .map(|violation| violation.to_string())
        .collect::<Vec<_>>()
        .join("; ")
}

#[test]
fn consistent_history_has_no_violation() {
    let may_have_run = caller::HistoryRecord {
        verdict: Some(verdict::RunVerdict::MayHaveRun),
        ..attempt("refused", "b")
    };
    let attempts = vec![attempt("answered", "a"), may_have_run, not_run("c")];
    let runs = vec![run("bei-1", "a"), run("bei-2", "b")];
    expect![""].assert_eq(&violations(attempts, runs, false));
}

#[test]
fn key_that_ran_twice_is_a_violation() {
    let runs = vec![run("bei-1", "a"), run("bei-2", "a")];
    expect!["ran twice: a on bei-1, bei-2"].assert_eq(&violations(Vec::new(), runs, false));
    let runs = vec![run("bei-1", "a"), run("bei-1", "a")];
    expect!["ran twice: a on bei-1, bei-1"].assert_eq(&violations(Vec::new(), runs, false));
}

#[test]
fn run_of_a_request_reported_as_not_run_is_a_violation() {
    let found = violations(vec![not_run("a")], vec![run("bei-2", "a")], false);
    expect!["refused as not run, but ran: a on bei-2"].assert_eq(&found);
    let without_key = caller::HistoryRecord {
        key: None,
        ..not_run("a")
    };
    let run_without_key = backend::RunRecord {
        idempotency_key: None,
        ..run("bei-2", "a")
    };
    let found = violations(vec![without_key], vec![run_without_key], false);
    expect!["refused as not run, but ran: id-a on bei-2"].assert_eq(&found);
}

#[test]
fn unreachable_attempt_does_not_rule_out_earlier_runs() {
    let unreachable = caller::HistoryRecord {
        outcome: "unreachable".to_owned(),
        ..not_run("a")
    };
    expect![""].assert_eq(&violations(
        vec![unreachable],
        vec![run("bei-1", "a")],
        false,
    ));
}

#[test]
fn wrong_response_is_a_violation() {
    let wrong = caller::HistoryRecord {
        reason: Some("body-mismatch".to_owned()),
        ..attempt("wrong", "a")
    };
    expect!["wrong response: id-a: body-mismatch"].assert_eq(&violations(
        vec![wrong],
        Vec::new(),
        false,
    ));
}

#[test]
fn response_without_a_run_is_a_violation() {
    let attempts = vec![attempt("answered", "a")];
    let elsewhere = vec![run("bei-2", "a")];
    expect!["response without a run: id-a by bei-1"].assert_eq(&violations(
        attempts.clone(),
        elsewhere.clone(),
        false,
    ));
    expect![""].assert_eq(&violations(attempts, elsewhere, true));
}
