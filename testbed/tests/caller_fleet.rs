//! Tests of a caller against a fleet that reacts to each request as scripted.

use std::{
    net,
    sync::{self, atomic},
};

use bytes::Bytes;
use expect_test::expect;
use http::StatusCode;
use testbed::{backend, caller, http_io};
use volo_http::{request, response};

mod support;

/// Reaction of the scripted fleet to one request.
#[derive(Clone, Copy, Debug)]
enum Reaction {
    Respond,
    RespondToOther,
    Abort,
    AbortMidResponse,
    Refuse(&'static str),
}

/// Fleet that names its own address as the entry point and reacts as scripted.
struct ScriptedFleet {
    address: sync::OnceLock<net::SocketAddr>,
    keys: sync::Mutex<Vec<String>>,
    lifetime_ms: u64,
    next: atomic::AtomicUsize,
    reactions: Vec<Reaction>,
}

impl ScriptedFleet {
    fn start(lifetime_ms: u64, reactions: &[Reaction]) -> sync::Arc<Self> {
        let fleet = sync::Arc::new(Self {
            address: sync::OnceLock::new(),
            keys: sync::Mutex::default(),
            lifetime_ms,
            next: atomic::AtomicUsize::new(0),
            reactions: reactions.to_vec(),
        });
        let served = sync::Arc::clone(&fleet);
        let address = support::start(move |request| sync::Arc::clone(&served).handle(request));
        fleet.address.set(address).expect("one start");
        fleet
    }

    fn address(&self) -> net::SocketAddr {
        *self.address.get().expect("a started fleet")
    }

    async fn handle(self: sync::Arc<Self>, request: request::Request) -> response::Response {
        if request.uri().path() == "/.foxtailwinch/entry-points" {
            return self.entry_points();
        }
        let (parts, content) = request.into_parts();
        let received = backend::ReceivedBody::receive(content).await;
        let received = received.expect("a complete body");
        let head = backend::RequestHead::from_headers(&parts.headers);
        let key = head.idempotency_key.unwrap_or_else(|| "no key".to_owned());
        self.keys.lock().expect("no panic").push(key);
        let next = self.next.fetch_add(1, atomic::Ordering::SeqCst);
        let response = backend::ResponseBody {
            body_bytes: received.size_bytes,
            body_sha256: received.sha256,
            request_id: head.request_id,
            run_count: 1,
            server: "bei-1".to_owned(),
        };
        react(self.reactions[next.min(self.reactions.len() - 1)], response)
    }

    fn entry_points(&self) -> response::Response {
        let entry_point = caller::EntryPoint {
            address: self.address(),
            availability_zone: "kariakoo".to_owned(),
            key_prefix: "p1".to_owned(),
            lifetime_ms: self.lifetime_ms,
        };
        let response = caller::EntryPointResponse {
            configuration_version: serde_json::Value::Null,
            entry_points: vec![entry_point],
        };
        http_io::json(StatusCode::OK, &response)
    }
}

fn react(reaction: Reaction, response: backend::ResponseBody) -> response::Response {
    match reaction {
        Reaction::Respond => with_header(
            http_io::json(StatusCode::OK, &response),
            "x-request-id",
            &response.request_id,
        ),
        Reaction::RespondToOther => {
            let other = backend::ResponseBody {
                request_id: "other".to_owned(),
                ..response
            };
            react(Reaction::Respond, other)
        }
        Reaction::Abort => http_io::aborted(Bytes::new()),
        Reaction::AbortMidResponse => http_io::aborted(Bytes::from_static(b"{\"server\":")),
        Reaction::Refuse(verdict) => {
            let refusal = http_io::plain(StatusCode::SERVICE_UNAVAILABLE, "{}");
            let refusal = with_header(refusal, "x-foxtailwinch-verdict", verdict);
            let refusal = with_header(refusal, "x-foxtailwinch-reason", "queue-full");
            with_header(refusal, "x-foxtailwinch-retry-after-ms", "1")
        }
    }
}

fn with_header(
    mut response: response::Response,
    name: &'static str,
    value: &str,
) -> response::Response {
    let value = value.parse().expect("a header value");
    response.headers_mut().insert(name, value);
    response
}

async fn send_one(reactions: &[Reaction], settings: caller::Settings) -> String {
    let fleet = ScriptedFleet::start(60_000, reactions);
    let settings = caller::Settings {
        entry_addresses: vec![fleet.address()],
        path: "/agizo".to_owned(),
        request_count: 1,
        ..settings
    };
    let run = caller::CallerRun::new(settings).expect("a caller");
    let report = run.run().await;
    let keys = fleet.keys.lock().expect("no panic").join(" ");
    let outcome = report.final_outcomes.keys().next().cloned();
    format!(
        "{} after {keys}; {} wrong",
        outcome.unwrap_or_default(),
        report.wrong_answers
    )
}

fn keyed_order() -> caller::Settings {
    caller::Settings {
        body_bytes: 200_000,
        keyed: true,
        method: http::Method::POST,
        ..caller::Settings::default()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn request_that_did_not_run_is_resent_under_a_new_key() {
    let reactions = [Reaction::Refuse("not-run"), Reaction::Respond];
    expect!["answered after p1.run-1-0-1 p1.run-1-0-2; 0 wrong"]
        .assert_eq(&send_one(&reactions, keyed_order()).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn request_that_may_have_run_is_resent_under_the_same_key() {
    let reactions = [
        Reaction::Refuse("may-have-run"),
        Reaction::Abort,
        Reaction::AbortMidResponse,
        Reaction::Respond,
    ];
    expect!["answered after p1.run-1-0-1 p1.run-1-0-1 p1.run-1-0-1 p1.run-1-0-1; 0 wrong"]
        .assert_eq(&send_one(&reactions, keyed_order()).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn unknown_verdict_is_treated_as_may_have_run() {
    let reactions = [Reaction::Refuse("perhaps"), Reaction::Respond];
    expect!["answered after p1.run-1-0-1 p1.run-1-0-1; 0 wrong"]
        .assert_eq(&send_one(&reactions, keyed_order()).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn order_without_a_key_that_may_have_run_is_sent_once() {
    let order = caller::Settings {
        keyed: false,
        ..keyed_order()
    };
    expect!["broken after no key; 0 wrong"].assert_eq(&send_one(&[Reaction::Abort], order).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn attempts_are_limited() {
    let refusals = [Reaction::Refuse("not-run")];
    let order = caller::Settings {
        attempt_limit: 2,
        ..keyed_order()
    };
    expect!["refused after p1.run-1-0-1 p1.run-1-0-2; 0 wrong"]
        .assert_eq(&send_one(&refusals, order).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn response_to_another_request_is_counted_as_wrong() {
    let reactions = [Reaction::RespondToOther];
    expect!["wrong after p1.run-1-0-1; 1 wrong"]
        .assert_eq(&send_one(&reactions, keyed_order()).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn request_without_a_reachable_fleet_ends_as_unreachable() {
    let settings = caller::Settings {
        attempt_limit: 1,
        deadline_ms: 50,
        entry_addresses: vec![net::SocketAddr::from(([127, 0, 0, 1], 1))],
        request_count: 1,
        ..keyed_order()
    };
    let run = caller::CallerRun::new(settings).expect("a caller");
    let report = run.run().await;
    assert_eq!(report.final_outcomes.get("unreachable"), Some(&1));
}

#[tokio::test(flavor = "multi_thread")]
async fn history_contains_every_attempt() {
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("attempts.jsonl");
    let order = caller::Settings {
        history_path: Some(path.clone()),
        ..keyed_order()
    };
    let reactions = [
        Reaction::Refuse("not-run"),
        Reaction::Abort,
        Reaction::Respond,
    ];
    send_one(&reactions, order).await;
    let attempts = testbed::history::load_attempts(&path).expect("a history");
    let lines = attempts.into_iter().map(|attempt| {
        let verdict = attempt
            .verdict
            .map(foxtailwinch::verdict::RunVerdict::as_str);
        format!(
            "{} {} {} {:?} {:?} {:?}",
            attempt.attempt,
            attempt.key.unwrap_or_default(),
            attempt.outcome,
            verdict,
            attempt.reason,
            attempt.server
        )
    });
    expect![[r#"
        1 p1.run-1-0-1 refused Some("not-run") Some("queue-full") None
        2 p1.run-1-0-2 broken Some("may-have-run") None None
        3 p1.run-1-0-2 answered None None Some("bei-1")"#]]
    .assert_eq(&lines.collect::<Vec<_>>().join("\n"));
}
