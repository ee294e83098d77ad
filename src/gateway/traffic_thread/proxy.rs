//! Takes a caller's request and gives its final answer.

use std::sync;
use std::time;

use xxhash_rust::xxh3;

use crate::gateway;
use crate::gateway::traffic_thread::answer;
use crate::gateway::traffic_thread::attempt;
use crate::gateway::traffic_thread::in_flight;
use crate::gateway::traffic_thread::request_log;
use crate::gateway::traffic_thread::taken_body;
use crate::gateway::traffic_thread::tried;
use crate::gateway::traffic_thread::work;
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
/// Milliseconds in a second.
const MILLISECONDS_PER_S: f64 = 1_000.0;

/// Takes a caller's request and gives its final answer.
///
/// When the caller leaves, the future is dropped: the connection to the server
/// is closed with it, and the server stops its work.
pub async fn serve(
    shared: sync::Arc<gateway::Shared>,
    request: http::Request<hyper::body::Incoming>,
) -> answer::Answer {
    let began = time::Instant::now();
    let _in_flight = in_flight::InFlight::begin(&shared);
    let (head, body) = request.into_parts();
    let id = head.headers.get(&shared.headers.request_id);
    let request_id = id.and_then(|id| id.to_str().ok()).unwrap_or("").to_owned();
    let mut answered = match handle(&shared, &request_id, head, body).await {
        Ok(answered) => answered,
        Err(refusal) => {
            request_log::note_refusal(&shared, &request_id, &refusal, began.elapsed());
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
        return Err(verdict::Refusal::not_run(
            verdict::RefusalReason::RequestInvalid,
            0,
        ));
    }
    let snapshot = complete_snapshot(shared).await;
    let Some(routes) = &snapshot.routes else {
        let reason = verdict::RefusalReason::NoConfiguration;
        return Err(verdict::Refusal::not_run(
            reason,
            gateway::jittered_ms(NO_CONFIGURATION_RETRY_MS, shared.draw()),
        ));
    };
    let host = head.headers.get(http::header::HOST);
    let host = host.and_then(|host| host.to_str().ok()).unwrap_or("");
    let Some(route) = routes.find(host, head.uri.path()) else {
        request_log::note_no_route(shared, request_id, host, &head.uri, routes);
        return Err(verdict::Refusal::not_run(
            verdict::RefusalReason::NoRoute,
            0,
        ));
    };
    let stated_ms = head.headers.get(&shared.headers.deadline_ms);
    let stated_ms = stated_ms.and_then(|value| value.to_str().ok()?.trim().parse().ok());
    let limit_ms = stated_ms.unwrap_or(u64::MAX).min(route.timeout_ms);
    let limit = began + time::Duration::from_millis(limit_ms);
    let max_body_bytes = routes.configuration.limits.max_body_bytes;
    let body = taken_body::read_body(shared, &head, body, max_body_bytes, limit).await?;
    let draw = rand::random_range(0..route.total_weight());
    let head_path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let fingerprint = match &body {
        taken_body::TakenBody::Whole(bytes) => {
            let path_hash = xxh3::xxh3_64(head_path.as_bytes());
            Some(xxh3::xxh3_64_with_seed(bytes, path_hash))
        }
        taken_body::TakenBody::Large(_) => None,
    };
    let work = work::Work {
        fingerprint,
        limit,
        request_id,
        route,
        service: route.target(draw),
        head,
    };
    let mut tried = tried::Tried::default();
    let service_use = in_flight::ServiceUse::begin(shared, &work);
    let version = routes.configuration.version;
    let result = run(shared, &work, &mut tried, body, version).await;
    let is_served = result
        .as_ref()
        .is_ok_and(|answered| !answered.status().is_server_error());
    service_use.end(is_served, tried.has_probed);
    result
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
    tried: &mut tried::Tried,
    mut body: taken_body::TakenBody,
    version: u64,
) -> Result<answer::Answer, verdict::Refusal> {
    if shared.is_quarantined(work.fingerprint) {
        return Err(verdict::Refusal::not_run(
            verdict::RefusalReason::Quarantined,
            0,
        ));
    }
    shared.note_request(work.service);
    loop {
        let Some(choice) = choose(shared, work, tried) else {
            let reason = verdict::RefusalReason::NoServer;
            return tried.give_up(shared, work, reason, NO_SERVER_RETRY_MS);
        };
        let use_of_server = in_flight::ServerUse::begin(shared, choice.lifetime);
        if is_hopeless(shared, work, &choice) {
            let wait_ms = come_back_ms(shared, work);
            request_log::note_hopeless(shared, work, &choice);
            let reason = verdict::RefusalReason::QueueFull;
            return tried.give_up(shared, work, reason, wait_ms);
        }
        let began = time::Instant::now();
        let outcome = watched(shared, work, &choice, body.take()).await;
        let ran_ms = u64::try_from(began.elapsed().as_millis()).unwrap_or(u64::MAX);
        drop(use_of_server);
        let failure = match outcome {
            attempt::AttemptOutcome::Answered(answered) => {
                request_log::note_answer(shared, work, &choice, &answered, ran_ms, version);
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
                request_log::note_failure(shared, work, &choice, failure, ran_ms);
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
            request_log::note_no_retry(shared, work, &room, step);
            let retry_ms = come_back_ms(shared, work);
            return tried.give_up(shared, work, failure.reason, retry_ms);
        };
        shared.metrics.counters.add_retry(reason);
        request_log::note_retry(shared, work, &room, reason);
        if shared.is_quarantined(work.fingerprint) {
            return tried.give_up(shared, work, verdict::RefusalReason::Quarantined, 0);
        }
    }
}

fn choose(
    shared: &gateway::Shared,
    work: &work::Work<'_>,
    tried: &tried::Tried,
) -> Option<gateway::Choice> {
    let is_upload = work.route.kind == ports::RequestKind::Upload;
    let distance = &shared.config.distance;
    let request = gateway::ChoiceRequest {
        availability_zone: &shared.identity.availability_zone,
        draw: shared.draw(),
        excluded: &tried.lifetimes,
        region: &shared.identity.region,
        region_cost: if is_upload {
            distance.upload_region_cost
        } else {
            distance.region_cost
        },
        service: work.service,
        zone_cost: if is_upload {
            distance.upload_zone_cost
        } else {
            distance.zone_cost
        },
    };
    shared.board().choose(shared.now_ms(), &request)
}

fn is_hopeless(shared: &gateway::Shared, work: &work::Work<'_>, choice: &gateway::Choice) -> bool {
    let usual_run_ms = shared.board().mean_run_ms(work.service);
    let slot_count = choice.backend.slot_count;
    gateway::is_hopeless(choice.in_flight, slot_count, usual_run_ms, work.left_ms())
}

fn come_back_ms(shared: &gateway::Shared, work: &work::Work<'_>) -> u64 {
    let usual_run_ms = shared.board().mean_run_ms(work.service);
    gateway::come_back_ms(usual_run_ms, shared.draw())
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
    shared.note_evidence(choice, gateway::Evidence::Failure);
    shared.metrics.counters.add("attempt.overdue");
    shared.decision_log.record("attempt.overdue", || {
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
