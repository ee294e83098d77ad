//! Tests of a caller's rules: when it resends a request, under which key, and
//! which responses it accepts.

use std::net;

use expect_test::expect;
use foxtailwinch::verdict;
use http_body_util::BodyExt as _;
use sha2::Digest as _;
use testbed::{backend, caller, http_io};

fn address(port: u16) -> net::SocketAddr {
    net::SocketAddr::from(([127, 0, 0, 1], port))
}

fn refused(verdict: verdict::RunVerdict) -> caller::AttemptOutcome {
    caller::AttemptOutcome::Refused {
        reason: "queue-full".to_owned(),
        retry_after_ms: 120,
        verdict,
    }
}

fn every_outcome() -> Vec<caller::AttemptOutcome> {
    vec![
        caller::AttemptOutcome::Answered,
        caller::AttemptOutcome::Broken,
        caller::AttemptOutcome::Failed { status: 500 },
        refused(verdict::RunVerdict::MayHaveRun),
        refused(verdict::RunVerdict::NotRun),
        caller::AttemptOutcome::TimedOut,
        caller::AttemptOutcome::Unreachable,
        caller::AttemptOutcome::Wrong(caller::ResponseFault::BodyMismatch),
    ]
}

fn decisions(rules: caller::ResendRules, may_have_run_before: bool) -> String {
    let lines = every_outcome().into_iter().map(|outcome| {
        let verdict = outcome.verdict().map_or("", verdict::RunVerdict::as_str);
        let next_step = rules.next_step(1, may_have_run_before, &outcome);
        format!("{} {verdict}: {next_step:?}\n", outcome.as_str())
    });
    lines.collect()
}

const KEYED: caller::ResendRules = caller::ResendRules {
    attempt_limit: 3,
    idempotent: false,
    keyed: true,
};

#[test]
fn keyed_requests_that_may_have_run_are_resent_under_the_same_key() {
    expect![[r"
        answered : Finish
        broken may-have-run: ResendSameKey { wait_ms: 50 }
        failed : Finish
        refused may-have-run: ResendSameKey { wait_ms: 120 }
        refused not-run: ResendNewKey { wait_ms: 120 }
        timed-out may-have-run: ResendSameKey { wait_ms: 50 }
        unreachable not-run: ResendNewKey { wait_ms: 50 }
        wrong : Finish
    "]]
    .assert_eq(&decisions(KEYED, false));
}

#[test]
fn refused_connection_keeps_the_key_of_a_request_that_may_have_run() {
    expect![[r"
        answered : Finish
        broken may-have-run: ResendSameKey { wait_ms: 50 }
        failed : Finish
        refused may-have-run: ResendSameKey { wait_ms: 120 }
        refused not-run: ResendNewKey { wait_ms: 120 }
        timed-out may-have-run: ResendSameKey { wait_ms: 50 }
        unreachable not-run: ResendSameKey { wait_ms: 50 }
        wrong : Finish
    "]]
    .assert_eq(&decisions(KEYED, true));
}

#[test]
fn orders_without_a_key_that_may_have_run_are_not_resent() {
    let rules = caller::ResendRules {
        keyed: false,
        ..KEYED
    };
    expect![[r"
        answered : Finish
        broken may-have-run: Finish
        failed : Finish
        refused may-have-run: Finish
        refused not-run: ResendNewKey { wait_ms: 120 }
        timed-out may-have-run: Finish
        unreachable not-run: ResendNewKey { wait_ms: 50 }
        wrong : Finish
    "]]
    .assert_eq(&decisions(rules, false));
}

#[test]
fn idempotent_requests_are_resent_up_to_the_attempt_limit() {
    let rules = caller::ResendRules {
        idempotent: true,
        keyed: false,
        ..KEYED
    };
    let broken = caller::AttemptOutcome::Broken;
    let next_steps = [1, 2, 3].map(|attempt| rules.next_step(attempt, false, &broken));
    let again = caller::NextStep::ResendNewKey { wait_ms: 50 };
    assert_eq!(next_steps, [again, again, caller::NextStep::Finish]);
}

#[test]
fn key_keeps_its_prefix_across_entry_points() {
    let rules = caller::ResendRules {
        attempt_limit: 9,
        ..KEYED
    };
    let mut progress = caller::RequestProgress::new("n".to_owned(), rules);
    let mut keys = Vec::new();
    for (port, outcome) in [
        (7_001, caller::AttemptOutcome::Broken),
        (7_002, caller::AttemptOutcome::Unreachable),
        (7_003, refused(verdict::RunVerdict::MayHaveRun)),
        (7_004, refused(verdict::RunVerdict::NotRun)),
        (7_005, caller::AttemptOutcome::Unreachable),
        (7_006, caller::AttemptOutcome::Answered),
    ] {
        let identity = progress.identity(&format!("p{port}"));
        keys.push(identity.idempotency_key.unwrap_or_default());
        let wait_ms = progress.advance(Some(address(port)), &outcome);
        keys.push(format!("{wait_ms:?}, avoids {:?}\n", progress.avoided()));
    }
    expect![[r"
        p7001.n-1 Some(50), avoids Some(127.0.0.1:7001)
         p7001.n-1 Some(50), avoids Some(127.0.0.1:7002)
         p7001.n-1 Some(120), avoids Some(127.0.0.1:7003)
         p7001.n-1 Some(120), avoids Some(127.0.0.1:7004)
         p7005.n-5 Some(50), avoids Some(127.0.0.1:7005)
         p7006.n-6 None, avoids Some(127.0.0.1:7005)
    "]]
    .assert_eq(&keys.join(" "));
}

#[test]
fn entry_points_are_used_in_turn_until_they_expire() {
    let listed = [(7_001, 100), (7_002, 200)].map(|(port, lifetime_ms)| caller::EntryPoint {
        address: address(port),
        availability_zone: String::new(),
        key_prefix: String::new(),
        lifetime_ms,
    });
    let mut entry_points = caller::EntryPoints::default();
    let response = caller::EntryPointResponse {
        configuration_version: serde_json::Value::Null,
        entry_points: listed.to_vec(),
    };
    entry_points.replace(0, &response);
    let mut pick = |now_ms, avoided: Option<u16>| {
        let picked = entry_points.pick(now_ms, avoided.map(address));
        picked.map(|entry_point| entry_point.address.port())
    };
    assert_eq!(pick(0, None), Some(7_001));
    assert_eq!(pick(0, None), Some(7_002));
    assert_eq!(pick(0, Some(7_001)), Some(7_002));
    assert_eq!(pick(99, Some(7_002)), Some(7_001));
    assert_eq!(pick(100, None), Some(7_002));
    assert_eq!(pick(199, Some(7_002)), Some(7_002));
    assert_eq!(pick(200, None), None);
    let query_addresses = entry_points.query_addresses(&[address(9)]);
    assert_eq!(
        query_addresses,
        [address(7_001), address(7_002), address(9)]
    );
}

fn response_to(body: &caller::RequestBody) -> backend::ResponseBody {
    backend::ResponseBody {
        body_bytes: body.size_bytes(),
        body_sha256: body.sha256().to_owned(),
        request_id: "r1".to_owned(),
        run_count: 1,
        server: "bei-1".to_owned(),
    }
}

#[test]
fn only_the_response_to_the_sent_request_is_accepted() {
    let body = caller::RequestBody::new(1, 100);
    let other = caller::RequestBody::new(2, 100);
    let check = |response: &backend::ResponseBody, echoed| {
        let response = serde_json::to_vec(response).expect("JSON");
        caller::check_response("r1", &body, echoed, &response)
            .map_err(caller::ResponseFault::as_str)
    };
    let own = response_to(&body);
    assert_eq!(check(&own, Some("r1")), Ok(own.clone()));
    assert_eq!(check(&own, Some("r2")), Err("request-id-mismatch"));
    assert_eq!(check(&own, None), Err("request-id-mismatch"));
    assert_eq!(
        check(&response_to(&other), Some("r1")),
        Err("body-mismatch")
    );
    let foreign = backend::ResponseBody {
        request_id: "r2".to_owned(),
        ..own
    };
    assert_eq!(check(&foreign, Some("r1")), Err("request-id-mismatch"));
    let fault = caller::check_response("r1", &body, Some("r1"), b"{\"server\":");
    assert_eq!(fault, Err(caller::ResponseFault::Malformed));
}

#[tokio::test]
async fn streamed_bodies_match_their_digest() {
    for size_bytes in [0, 1, 65_536, 65_537, 1_000_000] {
        let body = caller::RequestBody::new(3, size_bytes);
        let content = body.content().collect().await.expect("no error").to_bytes();
        assert_eq!(content.len() as u64, size_bytes);
        let sha256 = http_io::hex(&sha2::Sha256::digest(&content));
        assert_eq!(sha256, body.sha256());
    }
}
