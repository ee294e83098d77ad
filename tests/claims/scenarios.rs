//! Replies of a home and its witness to given sequences of events.

use std::net;

use foxtailwinch::claims;
use foxtailwinch::configs;
use foxtailwinch::state_machine::StateMachine as _;
use foxtailwinch::verdict;

use crate::ledger;

const FINGERPRINT: u64 = 7;
const OTHER_FINGERPRINT: u64 = 8;

fn vm(port: u16) -> claims::VmIdentity {
    claims::VmIdentity {
        incarnation: 1,
        peer_address: net::SocketAddr::from(([10, 0, 0, 1], port)),
    }
}

/// A home with room for two keys, its witness, and the log of their actions.
struct Transcript {
    home: claims::Home,
    lines: Vec<String>,
    witness: claims::Witness,
}

impl Transcript {
    fn new() -> Self {
        let config = configs::claims::ClaimsConfig {
            home_limit_keys: 2,
            ..configs::claims::ClaimsConfig::default()
        };
        Self {
            home: claims::Home::new(&config, vm(1)),
            lines: Vec::new(),
            witness: claims::Witness::new(&config, vm(2)),
        }
    }

    fn key(&self, caller_key: &str) -> claims::ClaimKey {
        claims::ClaimKey {
            caller_key: caller_key.to_owned(),
            organisation: "duka".to_owned(),
            prefix: self.home.prefix_for(vm(2)),
        }
    }

    fn handle_home_event(&mut self, now_ms: u64, event: claims::HomeEvent) {
        for action in self.home.handle(now_ms, event) {
            self.lines
                .push(format!("{now_ms} ms: {}", action_text(&action)));
            if let claims::HomeAction::HandOver { batch, .. } = action {
                self.witness
                    .handle(now_ms, claims::WitnessEvent::HandOver { batch });
            }
        }
    }

    fn request(&mut self, now_ms: u64, attempt_id: u64, fingerprint: u64, key: &claims::ClaimKey) {
        let key = key.clone();
        let deadline_ms = now_ms + 1_000;
        self.handle_home_event(
            now_ms,
            claims::HomeEvent::Request {
                attempt_id,
                deadline_ms,
                fingerprint,
                key,
            },
        );
    }

    fn grant_claim(&mut self, now_ms: u64, key: &claims::ClaimKey) {
        let key = key.clone();
        let reply = claims::ClaimReply::Granted;
        self.handle_home_event(now_ms, claims::HomeEvent::Claimed { key, reply });
    }

    fn finish_run(&mut self, now_ms: u64, key: &claims::ClaimKey) {
        let outcome = claims::RunOutcome::Answered(ledger::response_of(key, FINGERPRINT, 20));
        let key = key.clone();
        self.handle_home_event(now_ms, claims::HomeEvent::Finished { key, outcome });
    }

    fn seal(&mut self, now_ms: u64, key: &claims::ClaimKey) {
        let seal = claims::Seal { key: key.clone() };
        let event = claims::WitnessEvent::Seal {
            message_id: 1,
            seal,
        };
        for action in self.witness.handle(now_ms, event) {
            let claims::WitnessAction::ReplySeal { reply, .. } = action else {
                panic!("the reply to a seal must be a seal reply");
            };
            let reply_text = match reply {
                claims::SealReply::Answer(response) => format!("response {}", response.status),
                other => format!("{other:?}"),
            };
            self.lines
                .push(format!("{now_ms} ms: witness replies {reply_text}"));
        }
    }
}

fn action_text(action: &claims::HomeAction) -> String {
    match action {
        claims::HomeAction::HandOver { batch, .. } => format!("hand over {}", batch.entries.len()),
        claims::HomeAction::Run { attempt_id, key } => {
            format!("run {} for {attempt_id}", key.caller_key)
        }
        claims::HomeAction::SendClaim { claim, .. } => format!("claim {}", claim.key.caller_key),
        claims::HomeAction::Reply { attempt_id, reply } => match reply {
            claims::HomeReply::Answer(response) => {
                format!("{attempt_id} receives response {}", response.status)
            }
            claims::HomeReply::AskWitness => format!("{attempt_id} queries the witness"),
            claims::HomeReply::Refused(refusal) => format!(
                "{attempt_id} refused, {}, {}",
                refusal.reason.as_str(),
                refusal.verdict.as_str()
            ),
        },
    }
}

/// Guards against a second run for a repeated key, and against returning the
/// stored response to a different request with the same key.
#[test]
fn resends_get_the_response_of_the_first_run() {
    let mut transcript = Transcript::new();
    let key = transcript.key("order");
    transcript.request(0, 1, FINGERPRINT, &key);
    transcript.grant_claim(2, &key);
    transcript.request(3, 2, FINGERPRINT, &key);
    transcript.request(4, 3, OTHER_FINGERPRINT, &key);
    transcript.finish_run(5, &key);
    transcript.request(6, 4, FINGERPRINT, &key);
    transcript.request(7, 5, OTHER_FINGERPRINT, &key);
    expect_test::expect![[r"
        0 ms: claim order
        2 ms: run order for 1
        4 ms: 3 refused, key-reused, may-have-run
        5 ms: 2 receives response 200
        6 ms: 4 receives response 200
        7 ms: 5 refused, key-reused, may-have-run"]]
    .assert_eq(&transcript.lines.join("\n"));
}

/// Guards against a run after its claim has timed out and was refused as not
/// run, and against a second run while the first one takes long.
#[test]
fn a_late_grant_is_ignored_and_resends_wait_for_a_long_run() {
    let mut transcript = Transcript::new();
    let (late, long) = (transcript.key("late"), transcript.key("long"));
    transcript.request(0, 1, FINGERPRINT, &late);
    transcript.grant_claim(300, &late);
    transcript.request(400, 2, FINGERPRINT, &late);
    transcript.request(500, 3, FINGERPRINT, &long);
    transcript.grant_claim(501, &long);
    transcript.request(502, 4, FINGERPRINT, &long);
    transcript.handle_home_event(1_502, claims::HomeEvent::Tick);
    expect_test::expect![[r"
        0 ms: claim late
        300 ms: 1 refused, claim-denied, not-run
        400 ms: 2 refused, key-closed, not-run
        500 ms: claim long
        501 ms: run long for 3
        1502 ms: 4 refused, deadline-exceeded, may-have-run"]]
    .assert_eq(&transcript.lines.join("\n"));
}

/// Guards against a home that evicts a stored key to make room for a new one,
/// so that the stored key could run again.
#[test]
fn a_full_home_refuses_new_keys_and_keeps_stored_ones() {
    let mut transcript = Transcript::new();
    let first = transcript.key("first");
    let (second, third) = (transcript.key("second"), transcript.key("third"));
    transcript.request(0, 1, FINGERPRINT, &first);
    transcript.grant_claim(1, &first);
    transcript.finish_run(2, &first);
    let refusal = verdict::Refusal::not_run(verdict::RefusalReason::QueueFull, 100);
    let key = second.clone();
    transcript.handle_home_event(
        3,
        claims::HomeEvent::Refuse {
            attempt_id: 2,
            key,
            refusal,
        },
    );
    transcript.request(4, 3, FINGERPRINT, &third);
    transcript.request(5, 4, FINGERPRINT, &first);
    transcript.request(6, 5, FINGERPRINT, &third);
    transcript.request(1_300_000, 6, FINGERPRINT, &first);
    let fresh = transcript.key("fresh");
    transcript.request(1_300_001, 7, FINGERPRINT, &fresh);
    expect_test::expect![[r"
        0 ms: claim first
        1 ms: run first for 1
        3 ms: 2 refused, queue-full, not-run
        4 ms: 3 refused, key-memory-full, not-run
        5 ms: 4 receives response 200
        6 ms: 5 refused, key-closed, not-run
        1300000 ms: 6 refused, key-may-have-run, may-have-run
        1300001 ms: claim fresh"]]
    .assert_eq(&transcript.lines.join("\n"));
}

/// Guards against a witness that does not know the runs of a home that has
/// left.
#[test]
fn a_leaving_home_hands_keys_over_to_the_witness() {
    let mut transcript = Transcript::new();
    let (ended, running) = (transcript.key("ended"), transcript.key("running"));
    transcript.request(0, 1, FINGERPRINT, &ended);
    transcript.grant_claim(1, &ended);
    transcript.finish_run(2, &ended);
    transcript.request(3, 2, FINGERPRINT, &running);
    transcript.grant_claim(4, &running);
    transcript.handle_home_event(5, claims::HomeEvent::Leave);
    let unknown = transcript.key("unknown");
    transcript.request(6, 3, FINGERPRINT, &unknown);
    transcript.finish_run(7, &running);
    transcript.seal(8, &ended);
    transcript.seal(9, &running);
    transcript.seal(10, &unknown);
    expect_test::expect![[r"
        0 ms: claim ended
        1 ms: run ended for 1
        3 ms: claim running
        4 ms: run running for 2
        5 ms: hand over 1
        6 ms: 3 refused, leaving, not-run
        7 ms: hand over 1
        8 ms: witness replies response 200
        9 ms: witness replies response 200
        10 ms: witness replies NotRun"]]
    .assert_eq(&transcript.lines.join("\n"));
}
