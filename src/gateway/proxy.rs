//! Takes a caller's request and gives its final answer.

use std::io;
use std::sync;
use std::sync::atomic;
use std::time;

use http_body_util::BodyExt as _;
use xxhash_rust::xxh3;

use crate::gateway;
use crate::gateway::answer;
use crate::gateway::attempt;
use crate::gateway::work;
use crate::http1;
use crate::ports;
use crate::verdict;

/// When to come back while this VM has no configuration, in milliseconds: one
/// read of the store takes less.
const NO_CONFIGURATION_RETRY_MS: u64 = 300;
/// Longest time that a request waits for the first configuration and registry.
const START_WAIT: time::Duration = time::Duration::from_millis(400);
/// Time between two looks for them.
const START_LOOK_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// When to come back to a service without servers, in milliseconds: servers
/// register within two heartbeats.
const NO_SERVER_RETRY_MS: u64 = 700;
/// Shortest time to come back after servers refused, in milliseconds.
const SHED_RETRY_MIN_MS: u64 = 150;
/// Milliseconds in a second.
const MILLISECONDS_PER_S: f64 = 1_000.0;
/// What another zone costs, as load of a server: a request of a few kilobytes.
const ZONE_COST: f64 = 0.3;
/// What another region costs, as load of a server: a request of a few
/// kilobytes.
const REGION_COST: f64 = 1.2;
/// What another zone costs for an upload, as load of a server.
const UPLOAD_ZONE_COST: f64 = 0.6;
/// What another region costs for an upload, as load of a server: the bytes
/// cost more than most answers are worth.
const UPLOAD_REGION_COST: f64 = 3.0;

/// Takes a caller's request and gives its final answer.
///
/// When the caller leaves, the future is dropped: the connection to the server
/// is closed with it, and the server stops its work.
pub async fn serve(
    shared: sync::Arc<gateway::Shared>,
    request: http::Request<hyper::body::Incoming>,
) -> answer::Answer {
    let began = time::Instant::now();
    let _in_flight = InFlight::begin(&shared);
    let (head, body) = request.into_parts();
    let id = head.headers.get(&shared.headers.request_id);
    let request_id = id.and_then(|id| id.to_str().ok()).unwrap_or("").to_owned();
    let mut answered = match handle(&shared, &request_id, head, body).await {
        Ok(answered) => answered,
        Err(refusal) => {
            note_refusal(&shared, &request_id, &refusal, began.elapsed());
            answer::refusal(&refusal, &request_id, &shared.headers)
        }
    };
    if shared.is_leaving() {
        let close = http::HeaderValue::from_static("close");
        answered
            .headers_mut()
            .insert(http::header::CONNECTION, close);
    }
    let total_ms = u64::try_from(began.elapsed().as_millis()).unwrap_or(u64::MAX);
    shared.metrics.record_ms("request.total", total_ms);
    answered
}

async fn handle(
    shared: &sync::Arc<gateway::Shared>,
    request_id: &str,
    head: http::request::Parts,
    body: hyper::body::Incoming,
) -> Result<answer::Answer, verdict::Refusal> {
    let began = tokio::time::Instant::now();
    shared.metrics.counters.add("request.received");
    if request_id.is_empty() {
        return Err(not_run(verdict::RefusalReason::RequestInvalid, 0));
    }
    let snapshot = complete_snapshot(shared).await;
    let Some(routes) = &snapshot.routes else {
        let reason = verdict::RefusalReason::NoConfiguration;
        return Err(not_run(reason, jittered(shared, NO_CONFIGURATION_RETRY_MS)));
    };
    let host = head.headers.get(http::header::HOST);
    let host = host.and_then(|host| host.to_str().ok()).unwrap_or("");
    let Some(route) = routes.find(host, head.uri.path()) else {
        return Err(not_run(verdict::RefusalReason::NoRoute, 0));
    };
    let stated_ms = head.headers.get(&shared.headers.deadline_ms);
    let stated_ms = stated_ms.and_then(|value| value.to_str().ok()?.trim().parse().ok());
    let limit_ms = stated_ms.unwrap_or(u64::MAX).min(route.timeout_ms);
    let limit = began + time::Duration::from_millis(limit_ms);
    let max_body_bytes = routes.configuration.limits.max_body_bytes;
    let body = read_body(shared, &head, body, max_body_bytes, limit).await?;
    let draw = rand::random_range(0..route.total_weight());
    let head_path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let bytes = match &body {
        TakenBody::Whole(bytes) => bytes.clone(),
        TakenBody::Large(_) => bytes::Bytes::new(),
    };
    let fingerprint = xxh3::xxh3_64_with_seed(&bytes, xxh3::xxh3_64(head_path.as_bytes()));
    let work = work::Work {
        fingerprint,
        limit,
        request_id,
        route,
        service: route.target(draw),
        head,
    };
    run(shared, &work, body, routes.configuration.version).await
}

/// Gives what the control thread has published. Right after the start that is
/// waited for a little: it comes sooner than the caller could come back.
async fn complete_snapshot(shared: &gateway::Shared) -> sync::Arc<gateway::Snapshot> {
    let end = tokio::time::Instant::now() + START_WAIT;
    loop {
        let snapshot = shared.snapshot.load_full();
        if snapshot.is_complete() || tokio::time::Instant::now() >= end {
            return snapshot;
        }
        tokio::time::sleep(START_LOOK_INTERVAL).await;
    }
}

/// Tries servers until one answers or no further one may be tried.
async fn run(
    shared: &sync::Arc<gateway::Shared>,
    work: &work::Work<'_>,
    mut body: TakenBody,
    version: u64,
) -> Result<answer::Answer, verdict::Refusal> {
    if shared.is_quarantined(work.fingerprint) {
        return Err(not_run(verdict::RefusalReason::Quarantined, 0));
    }
    shared.note_request(work.service);
    let mut tried = Tried::default();
    loop {
        let Some(choice) = choose(shared, work, &tried) else {
            let reason = verdict::RefusalReason::NoServer;
            return tried.give_up(shared, work, reason, NO_SERVER_RETRY_MS);
        };
        let use_of_server = ServerUse::begin(shared, choice.lifetime);
        if let Some(wait_ms) = hopeless_wait_ms(shared, work, &choice) {
            let reason = verdict::RefusalReason::QueueFull;
            return tried.give_up(shared, work, reason, wait_ms);
        }
        let began = time::Instant::now();
        let outcome = watched(shared, work, &choice, body.take()).await;
        let ran_ms = u64::try_from(began.elapsed().as_millis()).unwrap_or(u64::MAX);
        drop(use_of_server);
        let failure = match outcome {
            attempt::AttemptOutcome::Answered(answered) => {
                note_answer(shared, work, &choice, &answered, ran_ms, version);
                if !answered.status().is_server_error() {
                    return Ok(answered);
                }
                tried.answer = Some(answered);
                attempt::AttemptFailure {
                    end: gateway::AttemptEnd::AnsweredFailure,
                    is_death: false,
                    reason: verdict::RefusalReason::ConnectionLost,
                }
            }
            attempt::AttemptOutcome::Failed(failure) => {
                note_failure(shared, work, &choice, failure, ran_ms);
                failure
            }
        };
        tried.note(&choice, failure);
        let room = tried.room(shared, work);
        let step = if body.can_repeat() {
            gateway::next_step(failure.end, &room)
        } else {
            gateway::NextStep::GiveUp
        };
        let reason = match step {
            gateway::NextStep::GiveUp => None,
            gateway::NextStep::RetryFreely(reason) => Some(reason),
            gateway::NextStep::RetryWithinBudget(reason) if shared.try_retry(work.service) => {
                Some(reason)
            }
            gateway::NextStep::RetryWithinBudget(_) => {
                shared.metrics.counters.add("retry.budget-used-up");
                None
            }
        };
        let Some(reason) = reason else {
            let retry_ms = come_back_ms(shared, work);
            return tried.give_up(shared, work, failure.reason, retry_ms);
        };
        shared.metrics.counters.add_retry(reason);
        if shared.is_quarantined(work.fingerprint) {
            return tried.give_up(shared, work, verdict::RefusalReason::Quarantined, 0);
        }
    }
}

fn choose(
    shared: &gateway::Shared,
    work: &work::Work<'_>,
    tried: &Tried,
) -> Option<gateway::Choice> {
    let is_upload = work.route.kind == ports::RequestKind::Upload;
    let request = gateway::ChoiceRequest {
        availability_zone: &shared.identity.availability_zone,
        draw: shared.draw(),
        excluded: &tried.lifetimes,
        region: &shared.identity.region,
        region_cost: if is_upload {
            UPLOAD_REGION_COST
        } else {
            REGION_COST
        },
        service: work.service,
        zone_cost: if is_upload {
            UPLOAD_ZONE_COST
        } else {
            ZONE_COST
        },
    };
    shared.board().choose(shared.now_ms(), &request)
}

/// Runs an attempt. A request without an answer long after its usual time says
/// something of its server before its own limit has come.
async fn watched(
    shared: &sync::Arc<gateway::Shared>,
    work: &work::Work<'_>,
    choice: &gateway::Choice,
    body: http1::RequestBody,
) -> attempt::AttemptOutcome {
    let mut attempt = std::pin::pin!(attempt::run(shared, work, choice, body));
    let usual_ms = shared.board().mean_run_ms(work.service);
    let overdue = time::Duration::from_secs_f64(
        usual_ms * shared.config.suspicion.slow_factor / MILLISECONDS_PER_S,
    );
    if let Ok(outcome) = tokio::time::timeout(overdue, attempt.as_mut()).await {
        return outcome;
    }
    shared.note_evidence(choice.lifetime, gateway::Evidence::Failure);
    shared.metrics.counters.add("attempt.overdue");
    shared.journal.decision("attempt.overdue", || {
        format!(
            "id={} service={} server={} after_ms={} usual_ms={usual_ms:.0} left_ms={}",
            work.request_id,
            work.service,
            choice.backend.id,
            overdue.as_millis(),
            work.left_ms()
        )
    });
    attempt.await
}

/// Gives when to come back if even the best server cannot end the request in
/// time, as far as its load is known.
fn hopeless_wait_ms(
    shared: &gateway::Shared,
    work: &work::Work<'_>,
    choice: &gateway::Choice,
) -> Option<u64> {
    let slots = f64::from(choice.backend.slot_count.max(1));
    let turns = (f64::from(choice.in_flight + 1) / slots).max(1.0);
    let usual_ms = shared.board().mean_run_ms(work.service);
    #[expect(clippy::cast_precision_loss, reason = "times are far below 2^52 ms")]
    let left_ms = work.left_ms() as f64;
    (turns > 1.0 && usual_ms * turns > left_ms).then(|| come_back_ms(shared, work))
}

/// Gives when a refused caller comes back: about half a run time later, when
/// slots are free again, spread so that callers do not return together.
fn come_back_ms(shared: &gateway::Shared, work: &work::Work<'_>) -> u64 {
    let usual_ms = shared.board().mean_run_ms(work.service);
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a run time is a small positive number"
    )]
    let half_ms = (usual_ms / 2.0) as u64;
    jittered(shared, half_ms.max(SHED_RETRY_MIN_MS))
}

fn jittered(shared: &gateway::Shared, base_ms: u64) -> u64 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "come-back times are small positive numbers"
    )]
    let spread_ms = (shared.draw() * base_ms as f64) as u64;
    base_ms / 2 + spread_ms
}

const fn not_run(reason: verdict::RefusalReason, retry_after_ms: u64) -> verdict::Refusal {
    verdict::Refusal::not_run(reason, retry_after_ms)
}

/// What earlier attempts of a request have left.
#[derive(Default)]
struct Tried {
    answer: Option<answer::Answer>,
    arrivals_count: u32,
    connect_failures_count: u32,
    last_reason: Option<verdict::RefusalReason>,
    lifetimes: Vec<u64>,
    may_have_run: bool,
}

impl Tried {
    fn note(&mut self, choice: &gateway::Choice, failure: attempt::AttemptFailure) {
        self.lifetimes.push(choice.lifetime);
        self.last_reason = Some(failure.reason);
        match failure.end {
            gateway::AttemptEnd::NotSent => self.connect_failures_count += 1,
            gateway::AttemptEnd::Refused => self.arrivals_count += 1,
            gateway::AttemptEnd::AnsweredFailure | gateway::AttemptEnd::Unanswered => {
                self.arrivals_count += 1;
                self.may_have_run = true;
            }
        }
    }

    fn room(&self, shared: &gateway::Shared, work: &work::Work<'_>) -> gateway::RetryRoom {
        let usual_ms = shared.board().mean_run_ms(work.service);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a run time is a small positive number"
        )]
        let usual_run_ms = usual_ms as u64;
        gateway::RetryRoom {
            arrivals_count: self.arrivals_count,
            connect_failures_count: self.connect_failures_count,
            left_ms: work.left_ms(),
            max_attempts: work.route.max_attempts.max(1),
            may_repeat: work.route.kind.may_repeat(),
            usual_run_ms,
        }
    }

    /// Gives a server's own failure if there is one, else the refusal. Once
    /// something may have run, nothing else is said.
    fn give_up(
        self,
        shared: &gateway::Shared,
        work: &work::Work<'_>,
        reason: verdict::RefusalReason,
        retry_ms: u64,
    ) -> Result<answer::Answer, verdict::Refusal> {
        if let Some(answered) = self.answer {
            return Ok(answered);
        }
        let reason = if work.left_ms() == 0 {
            verdict::RefusalReason::DeadlineExceeded
        } else {
            self.last_reason.unwrap_or(reason)
        };
        Err(if self.may_have_run {
            verdict::Refusal::may_have_run(reason, jittered(shared, retry_ms))
        } else {
            verdict::Refusal::not_run(reason, retry_ms)
        })
    }
}

/// A request's body as it was taken from the caller.
enum TakenBody {
    /// Too large to keep: passed on as it comes, once.
    Large(Option<http1::RequestBody>),
    /// Read whole.
    Whole(bytes::Bytes),
}

impl TakenBody {
    fn take(&mut self) -> http1::RequestBody {
        match self {
            Self::Large(body) => body
                .take()
                .unwrap_or_else(|| answer::whole(bytes::Bytes::new())),
            Self::Whole(bytes) => answer::whole(bytes.clone()),
        }
    }

    const fn can_repeat(&self) -> bool {
        matches!(self, Self::Whole(_))
    }
}

async fn read_body(
    shared: &gateway::Shared,
    head: &http::request::Parts,
    mut body: hyper::body::Incoming,
    max_body_bytes: u64,
    limit: tokio::time::Instant,
) -> Result<TakenBody, verdict::Refusal> {
    let stated = head.headers.get(http::header::CONTENT_LENGTH);
    let stated: Option<u64> = stated.and_then(|length| length.to_str().ok()?.parse().ok());
    if stated.is_some_and(|length| length > max_body_bytes) {
        return Err(not_run(verdict::RefusalReason::BodyTooLarge, 0));
    }
    let buffered_bytes = shared.config.buffered_body_limit_bytes as u64;
    if stated.is_some_and(|length| length > buffered_bytes) {
        let body = body.map_err(io::Error::other).boxed_unsync();
        return Ok(TakenBody::Large(Some(body)));
    }
    let mut bytes = bytes::BytesMut::new();
    loop {
        let frame = match tokio::time::timeout_at(limit, body.frame()).await {
            Ok(None) => return Ok(TakenBody::Whole(bytes.freeze())),
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(_))) => return Err(not_run(verdict::RefusalReason::RequestInvalid, 0)),
            Err(_) => return Err(not_run(verdict::RefusalReason::CallerTooSlow, 0)),
        };
        if let Ok(data) = frame.into_data() {
            bytes.extend_from_slice(&data);
        }
        if bytes.len() as u64 > max_body_bytes {
            return Err(not_run(verdict::RefusalReason::BodyTooLarge, 0));
        }
        if bytes.len() as u64 > buffered_bytes {
            let first = answer::whole(bytes.freeze());
            let rest = body.map_err(io::Error::other);
            let limited = first.chain_rest(rest, max_body_bytes - buffered_bytes);
            return Ok(TakenBody::Large(Some(limited)));
        }
    }
}

/// Joins the part of a body that was read and the rest of it.
trait ChainRest {
    fn chain_rest<B>(self, rest: B, limit_bytes: u64) -> http1::RequestBody
    where
        B: http_body::Body<Data = bytes::Bytes, Error = io::Error> + Send + Unpin + 'static;
}

impl ChainRest for http1::RequestBody {
    fn chain_rest<B>(self, rest: B, limit_bytes: u64) -> http1::RequestBody
    where
        B: http_body::Body<Data = bytes::Bytes, Error = io::Error> + Send + Unpin + 'static,
    {
        let state = (Some(self), rest, limit_bytes);
        let frames = futures::stream::unfold(state, |(first, mut rest, left)| async move {
            if let Some(mut first) = first {
                let frame = first.frame().await?;
                return Some((frame, (None, rest, left)));
            }
            let frame = rest.frame().await?;
            let size = frame.as_ref().ok().and_then(|frame| frame.data_ref());
            let size = size.map_or(0, |data| data.len() as u64);
            if size > left {
                let error = io::Error::other("the body is larger than allowed");
                return Some((Err(error), (None, rest, 0)));
            }
            Some((frame, (None, rest, left - size)))
        });
        http_body_util::StreamBody::new(frames).boxed_unsync()
    }
}

/// Counts a request as in flight until it is dropped.
struct InFlight {
    shared: sync::Arc<gateway::Shared>,
}

impl InFlight {
    fn begin(shared: &sync::Arc<gateway::Shared>) -> Self {
        shared.in_flight.fetch_add(1, atomic::Ordering::Relaxed);
        Self {
            shared: sync::Arc::clone(shared),
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.shared
            .in_flight
            .fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

/// Counts a request as in flight at a server until it is dropped.
struct ServerUse {
    lifetime: u64,
    shared: sync::Arc<gateway::Shared>,
}

impl ServerUse {
    fn begin(shared: &sync::Arc<gateway::Shared>, lifetime: u64) -> Self {
        Self {
            lifetime,
            shared: sync::Arc::clone(shared),
        }
    }
}

impl Drop for ServerUse {
    fn drop(&mut self) {
        self.shared.board().note_end(self.lifetime);
    }
}

fn note_answer(
    shared: &gateway::Shared,
    work: &work::Work<'_>,
    choice: &gateway::Choice,
    answered: &answer::Answer,
    ran_ms: u64,
    version: u64,
) {
    let status = answered.status();
    #[expect(clippy::cast_precision_loss, reason = "times are far below 2^52 ms")]
    let run_ms = ran_ms as f64;
    // A server's own 504 says that the request was long, not that it is bad.
    if status.is_server_error() && status != http::StatusCode::GATEWAY_TIMEOUT {
        shared.note_evidence(choice.lifetime, gateway::Evidence::Failure);
    } else if !status.is_server_error() {
        let evidence = shared.board().note_run_time(work.service, run_ms);
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

fn note_failure(
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

fn note_refusal(
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
