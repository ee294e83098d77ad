//! Keyed requests whose home is another entry VM. They are forwarded to the
//! home; if the home does not respond, the key is sealed at its witness.

use std::net;
use std::sync;
use std::time;

use volo_http::response;

use crate::claims;
use crate::configs;
use crate::context;
use crate::daemon;
use crate::daemon::keyed_requests::keyed_home;
use crate::daemon::traffic_threads::header_names;
use crate::daemon::traffic_threads::reply;
use crate::daemon::traffic_threads::retry_after;
use crate::daemon::traffic_threads::server_client;
use crate::daemon::traffic_threads::stored_response;
use crate::http1;
use crate::peer;
use crate::state_machine::StateMachine as _;
use crate::telemetry;

/// Id of the attempt. Each instance of the state machine handles only one
/// attempt.
const ATTEMPT_ID: u64 = 0;

/// Forwards keyed requests whose home is another entry VM.
pub struct KeyedEntry {
    client: daemon::ServerClient,
    clock: sync::Arc<dyn context::Clock>,
    configs: configs::ClaimsConfig,
    counters: sync::Arc<telemetry::Counters>,
    identity: claims::VmIdentity,
    peers: peer::PeerClients,
    witness: sync::Arc<daemon::ClaimWitness>,
}

/// Keyed request that this entry VM forwards.
pub struct KeyedRequest {
    /// Address at which the home accepts requests; `None` if the home is
    /// unknown.
    pub home_address: Option<net::SocketAddr>,
    /// Idempotency key of the request.
    pub key: claims::ClaimKey,
    /// Body of the request.
    pub payload: daemon::Payload,
    /// Time by which the response is due.
    pub deadline: tokio::time::Instant,
    /// The same time on this process's clock, in milliseconds.
    pub deadline_ms: u64,
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Head of the request.
    pub head: http::request::Parts,
    /// Id of the request.
    pub request_id: String,
}

/// Result of forwarding a request to its home.
enum HomeResult {
    /// Response of the home, which is forwarded unchanged.
    Response(response::Response),
    /// The home is another incarnation than the key names, so the witness must
    /// be queried.
    AskWitness,
    /// No valid response arrived.
    Failed,
}

impl KeyedEntry {
    /// Creates the forwarder from its dependencies.
    #[must_use]
    pub fn new(parts: daemon::KeyedEntryParts) -> Self {
        Self {
            client: parts.client,
            clock: parts.clock,
            configs: parts.configs,
            counters: parts.counters,
            identity: parts.identity,
            peers: parts.peers,
            witness: parts.witness,
        }
    }

    /// Returns the home's response, or the witness's reply if the home cannot
    /// respond.
    pub async fn handle(&self, request: &KeyedRequest) -> response::Response {
        let mut entry = claims::Entry::new(&self.configs);
        let event = claims::EntryEvent::Request {
            attempt_id: ATTEMPT_ID,
            deadline_ms: request.deadline_ms,
            fingerprint: request.fingerprint,
            key: request.key.clone(),
        };
        let mut actions = entry.handle(self.clock.now_ms(), event);
        // The state machine queries the home, then the witness, then replies to
        // the caller. Each step returns exactly one action until the last one.
        while let Some(action) = actions.pop() {
            let event = match action {
                claims::EntryAction::ForwardToHome { .. } => {
                    match self.query_home(&entry, request).await {
                        HomeResult::Response(response) => return response,
                        HomeResult::AskWitness => claims::EntryEvent::HomeReplied {
                            attempt_id: ATTEMPT_ID,
                            reply: claims::EntryHomeReply::AskWitness,
                        },
                        HomeResult::Failed => claims::EntryEvent::HomeFailed {
                            attempt_id: ATTEMPT_ID,
                        },
                    }
                }
                claims::EntryAction::Reply { reply, .. } => {
                    return entry_response(reply, &request.request_id);
                }
                claims::EntryAction::Seal { seal, witness, .. } => {
                    self.seal(seal, witness, request).await
                }
            };
            actions = entry.handle(self.clock.now_ms(), event);
        }
        let reason = crate::verdict::RefusalReason::KeyMayHaveRun;
        let retry_after_ms = retry_after::jittered_ms(self.configs.retry_after_ms);
        let refusal = crate::verdict::Refusal::may_have_run(reason, retry_after_ms);
        reply::refusal(&refusal, &request.request_id)
    }

    async fn query_home(&self, entry: &claims::Entry, request: &KeyedRequest) -> HomeResult {
        let is_own_address = request.key.prefix.home.peer_address == self.identity.peer_address;
        if is_own_address {
            // The home was an earlier incarnation of this VM's process.
            return HomeResult::AskWitness;
        }
        let Some(home_address) = request.home_address else {
            return HomeResult::Failed;
        };
        self.counters.add("claim.sent-to-home");
        let now_ms = self.clock.now_ms();
        let due_ms = entry.next_wakeup_ms().unwrap_or(request.deadline_ms);
        let home_timeout = time::Duration::from_millis(due_ms.saturating_sub(now_ms));
        let time_left_ms = request.deadline_ms.saturating_sub(now_ms);
        let mut head =
            server_client::forwarded_head(&request.head, &request.request_id, time_left_ms);
        reply::set_header(&mut head.headers, header_names::HOP, "1");
        let deadline = tokio::time::Instant::now() + home_timeout;
        let sent = self
            .client
            .send(home_address, &head, request.payload.body(), deadline)
            .await;
        match sent {
            Ok(response) if is_ask_witness(&response) => HomeResult::AskWitness,
            Ok(response) if is_from_home(&response, request) => {
                HomeResult::Response(forward_response(response, request.deadline))
            }
            Ok(_) | Err(_) => HomeResult::Failed,
        }
    }

    async fn seal(
        &self,
        seal: claims::Seal,
        witness: claims::VmIdentity,
        request: &KeyedRequest,
    ) -> claims::EntryEvent {
        self.counters.add("claim.seal");
        if witness.peer_address == self.identity.peer_address {
            return claims::EntryEvent::SealReplied {
                attempt_id: ATTEMPT_ID,
                reply: self.witness.seal(seal),
            };
        }
        let time_left_ms = request.deadline_ms.saturating_sub(self.clock.now_ms());
        let timeout = time::Duration::from_millis(time_left_ms);
        let reply = self
            .peers
            .call(witness.peer_address, timeout, async |client, context| {
                client.seal(context, seal).await
            })
            .await;
        match reply {
            Ok(reply) => claims::EntryEvent::SealReplied {
                attempt_id: ATTEMPT_ID,
                reply,
            },
            Err(error) => {
                telemetry::Event::PeerUnavailable
                    .debug(|| format!("witness did not reply to a seal: {error}"));
                claims::EntryEvent::SealFailed {
                    attempt_id: ATTEMPT_ID,
                }
            }
        }
    }
}

fn entry_response(entry_reply: claims::EntryReply, request_id: &str) -> response::Response {
    match entry_reply {
        claims::EntryReply::Answer(response) => stored_response::from_stored(response, request_id),
        claims::EntryReply::Refused(refusal) => reply::refusal(&refusal, request_id),
    }
}

fn is_ask_witness(response: &response::Response) -> bool {
    response.status() == http::StatusCode::MISDIRECTED_REQUEST
        && response
            .headers()
            .get(header_names::REASON)
            .is_some_and(|reason| reason == keyed_home::ASK_WITNESS)
}

/// Returns whether an entry VM sent this response, to this request, with a body
/// whose truncation can be detected. Another program may listen on the address
/// of a VM that is gone.
fn is_from_home(response: &response::Response, request: &KeyedRequest) -> bool {
    response.headers().contains_key(header_names::VM)
        && server_client::is_response_to(response, &request.request_id)
        && server_client::has_delimited_body(response, &request.head.method)
}

fn forward_response(
    response: response::Response,
    deadline: tokio::time::Instant,
) -> response::Response {
    let (mut head, body) = response.into_parts();
    http1::remove_connection_headers(&mut head.headers);
    let body = daemon::ResponseBody::new(body, deadline, |_| {});
    response::Response::from_parts(head, volo_http::body::Body::from_body(body))
}
