//! Keyed requests at their home, which runs each key at most once.

use std::sync;

use volo_http::body;
use volo_http::response;

use crate::bundle;
use crate::claims;
use crate::daemon;
use crate::daemon::traffic_threads::header_names;
use crate::daemon::traffic_threads::reply;
use crate::daemon::traffic_threads::retry_after;
use crate::daemon::traffic_threads::stored_response;
use crate::verdict;

/// Reason header with which a home refers another entry VM to the witness of a
/// key. Used only between entry VMs.
pub const ASK_WITNESS: &str = "ask-witness";

/// Minimum delay before a retry after a run with an unknown outcome, in
/// milliseconds.
const RETRY_AFTER_MS: u64 = 250;

/// Handles keyed requests at their home.
pub struct KeyedHome {
    answer_limit_bytes: usize,
    home: sync::Arc<daemon::ClaimHome>,
    runner: sync::Arc<daemon::Runner>,
}

/// Reports on drop that the request may have run, unless its outcome was
/// reported before.
struct RunGuard {
    home: sync::Arc<daemon::ClaimHome>,
    key: Option<claims::ClaimKey>,
}

impl KeyedHome {
    /// Creates a handler that runs requests with `runner`.
    #[must_use]
    pub const fn new(
        home: sync::Arc<daemon::ClaimHome>,
        runner: sync::Arc<daemon::Runner>,
        answer_limit_bytes: usize,
    ) -> Self {
        Self {
            answer_limit_bytes,
            home,
            runner,
        }
    }

    /// Returns the response of the key's only run.
    ///
    /// A request with a buffered body runs to its end even if the caller
    /// disconnects, so that the caller can retrieve the response with a retry.
    pub async fn handle(
        self: sync::Arc<Self>,
        prepared: daemon::PreparedRequest,
        payload: daemon::Payload,
        key: claims::ClaimKey,
        limit: bundle::OrganisationLimit,
    ) -> response::Response {
        let request_id = prepared.request_id.clone();
        let may_outlive_caller = matches!(payload, daemon::Payload::Buffered(_));
        let attempt = async move { self.attempt(&prepared, &payload, &key, &limit).await };
        if !may_outlive_caller {
            return attempt.await;
        }
        tokio::spawn(attempt)
            .await
            .unwrap_or_else(|_| unknown_outcome(&request_id))
    }

    /// Closes the key and returns the refusal.
    pub async fn refuse(
        &self,
        key: &claims::ClaimKey,
        refusal: verdict::Refusal,
        request_id: &str,
    ) -> response::Response {
        let mut attempt = self.home.refuse(key, refusal);
        match attempt.next_step().await {
            Some(daemon::AttemptStep::Reply(home_reply)) => home_response(home_reply, request_id),
            Some(daemon::AttemptStep::Run) | None => unknown_outcome(request_id),
        }
    }

    async fn attempt(
        &self,
        prepared: &daemon::PreparedRequest,
        payload: &daemon::Payload,
        key: &claims::ClaimKey,
        limit: &bundle::OrganisationLimit,
    ) -> response::Response {
        let mut attempt = self
            .home
            .request(key, prepared.deadline_ms, prepared.fingerprint);
        match attempt.next_step().await {
            Some(daemon::AttemptStep::Reply(home_reply)) => {
                home_response(home_reply, &prepared.request_id)
            }
            Some(daemon::AttemptStep::Run) => self.run(prepared, payload, key, limit).await,
            None => unknown_outcome(&prepared.request_id),
        }
    }

    async fn run(
        &self,
        prepared: &daemon::PreparedRequest,
        payload: &daemon::Payload,
        key: &claims::ClaimKey,
        limit: &bundle::OrganisationLimit,
    ) -> response::Response {
        let run = RunGuard {
            home: sync::Arc::clone(&self.home),
            key: Some(key.clone()),
        };
        let response = match self.runner.run(prepared, payload, limit).await {
            Ok(response) => response,
            Err(refusal) => {
                run.finish(refused_outcome(refusal));
                return reply::refusal(&refusal, &prepared.request_id);
            }
        };
        let limit_bytes = self.answer_limit_bytes;
        match stored_response::buffer_response(response, prepared.fingerprint, limit_bytes).await {
            Some(stored_response::KeyedResponse::Stored(response)) => {
                run.finish(claims::RunOutcome::Answered(response.clone()));
                stored_response::from_stored(response, &prepared.request_id)
            }
            Some(stored_response::KeyedResponse::Streaming(response)) => {
                run.finish(claims::RunOutcome::AnsweredNotStored);
                response
            }
            None => {
                let reason = if prepared.time_left_ms() == 0 {
                    verdict::RefusalReason::DeadlineExceeded
                } else {
                    verdict::RefusalReason::AnswerTruncated
                };
                let refusal = may_have_run(reason);
                run.finish(claims::RunOutcome::MayHaveRun(refusal));
                reply::refusal(&refusal, &prepared.request_id)
            }
        }
    }
}

impl RunGuard {
    fn finish(mut self, outcome: claims::RunOutcome) {
        if let Some(key) = self.key.take() {
            self.home.finish_run(key, outcome);
        }
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let Some(key) = self.key.take() else {
            return;
        };
        let refusal = may_have_run(verdict::RefusalReason::KeyMayHaveRun);
        self.home
            .finish_run(key, claims::RunOutcome::MayHaveRun(refusal));
    }
}

const fn refused_outcome(refusal: verdict::Refusal) -> claims::RunOutcome {
    match refusal.verdict {
        verdict::RunVerdict::MayHaveRun => claims::RunOutcome::MayHaveRun(refusal),
        verdict::RunVerdict::NotRun => claims::RunOutcome::NotRun(refusal),
    }
}

fn home_response(home_reply: claims::HomeReply, request_id: &str) -> response::Response {
    match home_reply {
        claims::HomeReply::Answer(response) => stored_response::from_stored(response, request_id),
        claims::HomeReply::AskWitness => ask_witness_response(request_id),
        claims::HomeReply::Refused(refusal) => reply::refusal(&refusal, request_id),
    }
}

/// Creates the response that refers another entry VM to the witness of the key.
#[must_use]
pub fn ask_witness_response(request_id: &str) -> response::Response {
    let mut response = response::Response::new(body::Body::empty());
    *response.status_mut() = http::StatusCode::MISDIRECTED_REQUEST;
    reply::set_header(response.headers_mut(), header_names::REASON, ASK_WITNESS);
    reply::set_header(response.headers_mut(), header_names::REQUEST_ID, request_id);
    response
}

fn may_have_run(reason: verdict::RefusalReason) -> verdict::Refusal {
    verdict::Refusal::may_have_run(reason, retry_after::jittered_ms(RETRY_AFTER_MS))
}

/// Creates the refusal of a request whose outcome is not known here.
fn unknown_outcome(request_id: &str) -> response::Response {
    let refusal = may_have_run(verdict::RefusalReason::KeyMayHaveRun);
    reply::refusal(&refusal, request_id)
}
