//! Proxies callers' requests to backend servers.

use std::sync;
use std::time;

use xxhash_rust::xxh3;

use crate::gateway;
use crate::gateway::traffic_thread::allowance_guard;
use crate::gateway::traffic_thread::attempt;
use crate::gateway::traffic_thread::attempt_history;
use crate::gateway::traffic_thread::caller_body;
use crate::gateway::traffic_thread::caller_identity;
use crate::gateway::traffic_thread::caller_stream;
use crate::gateway::traffic_thread::caller_upload;
use crate::gateway::traffic_thread::in_flight;
use crate::gateway::traffic_thread::relay;
use crate::gateway::traffic_thread::relay_exchange;
use crate::gateway::traffic_thread::request_log;
use crate::gateway::traffic_thread::request_queues;
use crate::gateway::traffic_thread::response;
use crate::gateway::traffic_thread::routed_request;
use crate::gateway::traffic_thread::server_choice;
use crate::gateway::traffic_thread::timed_attempt;
use crate::verdict;

/// Retry delay sent to callers while this VM has no configuration, in
/// milliseconds. A read of the store takes less time.
const NO_CONFIGURATION_RETRY_AFTER_MS: u64 = 300;
/// Time after the start until which requests wait for the first configuration and
/// registry, in milliseconds. Later, this VM does not know when it gets them.
const START_WAIT_END_MS: u64 = 3_000;
/// Interval at which a request checks for the first configuration and registry.
const START_POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// Longest time for which a caller is expected to wait, in milliseconds.
const MAX_CALLER_TIME_MS: u64 = 3_600_000;

/// Serves a caller's request and returns the final response.
///
/// If the caller disconnects, the future is dropped. This closes the connection
/// to the server, which then stops its work on the request.
pub async fn serve(
    shared: sync::Arc<gateway::Shared>,
    request: http::Request<caller_upload::CallerUpload>,
) -> response::Response {
    let (mut head, body) = request.into_parts();
    let mut credentials = caller_identity::Credentials::take(&mut head.headers, &shared.headers);
    let arrived_at = head.extensions.get::<caller_stream::ArrivedAt>();
    let started_at = arrived_at.map_or_else(tokio::time::Instant::now, |arrived_at| arrived_at.0);
    let id = head.headers.get(&shared.headers.request_id);
    let request_id = id.and_then(|id| id.to_str().ok()).unwrap_or("").to_owned();
    let handling = handle(
        &shared,
        &request_id,
        started_at,
        &mut credentials,
        head,
        body,
    );
    let result = tokio::select! {
        result = handling => result,
        () = shared.leave.ended() => {
            Err(verdict::Refusal::may_have_run(verdict::RefusalReason::Leaving, 0))
        }
    };
    let relay = credentials.relay;
    let relay_outcome = relay.map(|_| relay::outcome(&shared, &result));
    let mut response = result.unwrap_or_else(|refusal| {
        request_log::record_refusal(
            &shared,
            &request_id,
            credentials.organisation.as_deref(),
            &refusal,
            started_at.elapsed(),
        );
        response::refusal(&refusal, &request_id, &shared.headers)
    });
    if let Some(outcome) = relay_outcome {
        response
            .headers_mut()
            .insert(relay_exchange::RELAY_HEADER, outcome);
    }
    if shared.is_leaving() {
        let close = http::HeaderValue::from_static("close");
        response
            .headers_mut()
            .insert(http::header::CONNECTION, close);
    }
    let total_ms = u64::try_from(started_at.elapsed().as_millis()).unwrap_or(u64::MAX);
    shared.metrics.record_ms("request.total", total_ms);
    response
}

async fn handle(
    shared: &sync::Arc<gateway::Shared>,
    request_id: &str,
    started_at: tokio::time::Instant,
    credentials: &mut caller_identity::Credentials,
    mut head: http::request::Parts,
    body: caller_upload::CallerUpload,
) -> Result<response::Response, verdict::Refusal> {
    shared.metrics.counters.add("request.received");
    if request_id.is_empty() {
        return Err(verdict::Refusal::not_run(
            verdict::RefusalReason::RequestInvalid,
            0,
        ));
    }
    let requested_ms = head.headers.get(&shared.headers.deadline_ms);
    let requested_ms = requested_ms.and_then(|value| value.to_str().ok()?.trim().parse().ok());
    let caller_left_ms = || requested_ms.map_or(u64::MAX, |ms| time_left_ms(started_at, ms));
    let snapshot = wait_for_snapshot(shared, caller_left_ms()).await;
    let snapshot = caller_identity::wait_until_identified(
        shared,
        snapshot,
        credentials,
        caller_identity::host(&head.headers),
        head.uri.path(),
        caller_left_ms(),
    );
    let (snapshot, identified_ms) = snapshot.await;
    let routes = snapshot.routes.as_ref();
    let Some(routes) = routes.filter(|_| snapshot.is_start_checked) else {
        let reason = verdict::RefusalReason::NoConfiguration;
        return Err(verdict::Refusal::not_run(
            reason,
            gateway::jittered_ms(NO_CONFIGURATION_RETRY_AFTER_MS, shared.random_value()),
        ));
    };
    if !routes.organisations.is_empty() {
        caller_identity::remove_headers(&mut head.headers, &shared.headers);
    }
    let host = caller_identity::host(&head.headers);
    credentials.check_relay(routes, host, head.uri.path(), request_id)?;
    let Some(route) = routes.find(host, head.uri.path()) else {
        request_log::record_no_route(shared, request_id, host, &head.uri, routes);
        return Err(verdict::Refusal::not_run(
            verdict::RefusalReason::NoRoute,
            0,
        ));
    };
    let (key, is_public) = (credentials.key, route.is_public);
    let organisation =
        caller_identity::organisation(shared, identified_ms, &snapshot, routes, key, is_public)?;
    credentials.organisation = organisation.map(|organisation| organisation.name.clone());
    let caller_time_ms = requested_ms.unwrap_or(route.timeout_ms);
    let caller_time_ms = caller_time_ms.min(MAX_CALLER_TIME_MS);
    let caller_deadline = started_at + time::Duration::from_millis(caller_time_ms);
    let deadline = started_at + time::Duration::from_millis(caller_time_ms.min(route.timeout_ms));
    caller_stream::record_deadline(&head.extensions, caller_deadline);
    let max_body_bytes = routes.configuration.limits.max_body_bytes;
    let memory = shared.memory.begin_request();
    let body =
        caller_body::read_body(shared, &head, body, max_body_bytes, deadline, &memory).await?;
    let random_weight = rand::random_range(0..route.total_weight());
    let path_and_query = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let fingerprint = fingerprint(path_and_query, &body);
    let relay = credentials.relay;
    let mut request = routed_request::RoutedRequest {
        caller_deadline,
        fingerprint,
        deadline,
        key,
        memory,
        organisation,
        priority: gateway::request_priority(organisation, route),
        relay,
        request_id,
        route,
        may_wait: !routes.organisations.is_empty(),
        service: route.target(random_weight),
        weight: routes.organisations.weight(organisation),
        head,
    };
    let mut history = attempt_history::AttemptHistory::default();
    // A relayed request is counted by the VM that relays it.
    let outcome_guard = relay
        .is_none()
        .then(|| in_flight::ServiceOutcomeGuard::begin(shared, &request));
    let version = routes.configuration.version;
    let result = run_attempts(shared, &mut request, &mut history, body, version).await;
    let is_served = result
        .as_ref()
        .is_ok_and(|response| !response.status().is_server_error());
    if let Some(outcome_guard) = outcome_guard {
        outcome_guard.record_outcome(is_served, history.has_probed);
    }
    if result.is_ok() {
        request.memory.begin_passing(&request);
    }
    result
}

/// Returns what is left of `caller_time_ms` from `started_at`, in milliseconds.
fn time_left_ms(started_at: tokio::time::Instant, caller_time_ms: u64) -> u64 {
    let elapsed_ms = u64::try_from(started_at.elapsed().as_millis()).unwrap_or(u64::MAX);
    caller_time_ms.saturating_sub(elapsed_ms)
}

/// Returns the hash of a request's path and body; `None` if the body is not buffered.
fn fingerprint(path_and_query: &str, body: &caller_body::CallerBody) -> Option<u64> {
    match body {
        caller_body::CallerBody::Buffered(bytes) => {
            let path_hash = xxh3::xxh3_64(path_and_query.as_bytes());
            Some(xxh3::xxh3_64_with_seed(bytes, path_hash))
        }
        caller_body::CallerBody::Streamed(_) => None,
    }
}

/// Returns the snapshot published by the control thread.
///
/// Right after the start, waits for a complete snapshot.
///
/// Load pattern: all VMs of the fleet restart, and requests arrive while they get the
/// configuration from the store or from each other. Most callers do not return after
/// a refusal. A request waits as long as it can still be served afterwards.
async fn wait_for_snapshot(
    shared: &gateway::Shared,
    time_left_ms: u64,
) -> sync::Arc<gateway::Snapshot> {
    // The service is not known yet, so neither is its run time.
    let run_ms = shared.mean_run_ms("");
    let wait_ms = time_left_ms.saturating_sub(run_ms);
    let end_ms = START_WAIT_END_MS.min(shared.now_ms().saturating_add(wait_ms));
    loop {
        let snapshot = shared.snapshot.load_full();
        if snapshot.can_serve() || shared.now_ms() >= end_ms {
            return snapshot;
        }
        tokio::time::sleep(START_POLL_INTERVAL).await;
    }
}

/// Counts a request unless another VM relayed it.
///
/// # Errors
///
/// Returns a refusal if the request must not be sent to any server.
fn begin(
    shared: &gateway::Shared,
    routed: &routed_request::RoutedRequest<'_>,
) -> Result<(), verdict::Refusal> {
    if shared.is_quarantined(routed.fingerprint) {
        return Err(verdict::Refusal::not_run(
            verdict::RefusalReason::Quarantined,
            0,
        ));
    }
    // A request that waited behind others on its connection may have no time left.
    if routed.time_left_ms() == 0 {
        return Err(verdict::Refusal::not_run(
            verdict::RefusalReason::DeadlineExceeded,
            0,
        ));
    }
    if routed.relay.is_none() {
        shared.record_request(routed.service);
    }
    Ok(())
}

/// Makes attempts on different servers until one responds without a server error
/// or no further attempt is allowed.
async fn run_attempts(
    shared: &sync::Arc<gateway::Shared>,
    routed: &mut routed_request::RoutedRequest<'_>,
    history: &mut attempt_history::AttemptHistory,
    mut body: caller_body::CallerBody,
    version: u64,
) -> Result<response::Response, verdict::Refusal> {
    begin(shared, routed)?;
    let mut allowance = allowance_guard::AllowanceGuard::new(shared);
    loop {
        wait_after_pause(shared).await;
        if let Err(refusal) = caller_identity::check_again(shared, routed, version) {
            return history.refuse(shared, routed, refusal);
        }
        if let Some(refusal) = refuse_if_outlasting(shared, routed) {
            return history.refuse(shared, routed, refusal);
        }
        allowance.admit(routed).await?;
        allowance.begin_attempt();
        let relayed = relay::run_if_out_of_reach(shared, routed, history, &mut body, version);
        let relayed = relayed.await;
        allowance.end_attempt(relayed.as_ref().is_some_and(may_have_run));
        if let Some(result) = relayed {
            return result;
        }
        let mut place = match wait_for_slot(shared, routed, history, version).await {
            Ok(place) => place,
            Err(result) => return result,
        };
        let Some(choice) = choose(shared, routed, history, place.as_ref()) else {
            let (reason, retry_after_ms) = server_choice::no_server(shared, routed, history);
            return history.final_response(shared, routed, reason, retry_after_ms);
        };
        let server_guard = in_flight::ServerInFlightGuard::begin(shared, choice.incarnation);
        if server_choice::is_deadline_unmeetable(shared, routed, &choice) {
            let retry_after_ms = server_choice::retry_after_ms(shared, routed);
            request_log::record_unmeetable_deadline(shared, routed, &choice);
            let reason = verdict::RefusalReason::QueueFull;
            return history.final_response(shared, routed, reason, retry_after_ms);
        }
        if !routed.reserve_memory(shared).await {
            let retry_after_ms = server_choice::retry_after_ms(shared, routed);
            let reason = verdict::RefusalReason::MemoryLimit;
            return history.final_response(shared, routed, reason, retry_after_ms);
        }
        shared.announce_limited_request(&choice);
        let started_at = time::Instant::now();
        allowance.begin_attempt();
        let outcome = timed_attempt::run(shared, routed, &choice, &mut body).await;
        let ran_ms = u64::try_from(started_at.elapsed().as_millis()).unwrap_or(u64::MAX);
        drop(server_guard);
        let failure = match outcome {
            attempt::AttemptOutcome::Answered(response) => {
                request_log::record_response(shared, routed, &choice, &response, ran_ms, version);
                if !response.status().is_server_error() {
                    place
                        .iter_mut()
                        .for_each(request_queues::Place::record_served);
                    return Ok(response);
                }
                history.failure_response = Some(response);
                attempt::AttemptFailure {
                    end: gateway::AttemptEnd::AnsweredFailure,
                    has_server_died: false,
                    reason: verdict::RefusalReason::ConnectionLost,
                }
            }
            attempt::AttemptOutcome::Failed(failure) => {
                request_log::record_failure(shared, routed, &choice, failure, ran_ms);
                failure
            }
        };
        allowance.end_attempt(failure.end != gateway::AttemptEnd::NotSent);
        drop(place);
        history.record(&choice, failure);
        if !is_retried(shared, routed, history, failure, &body) {
            let retry_after_ms = server_choice::retry_after_ms(shared, routed);
            return history.final_response(shared, routed, failure.reason, retry_after_ms);
        }
        if shared.is_quarantined(routed.fingerprint) {
            return history.final_response(shared, routed, verdict::RefusalReason::Quarantined, 0);
        }
    }
}

/// Refuses a request if this VM shuts down and an attempt may take longer than the time
/// that is left. Before the route's first response, the service's mean run time is all
/// that is known.
///
/// Load pattern: callers keep the address of a VM for some seconds after it has begun to
/// shut down, and some requests take nearly as long as its grace time.
fn refuse_if_outlasting(
    shared: &gateway::Shared,
    routed: &routed_request::RoutedRequest<'_>,
) -> Option<verdict::Refusal> {
    let left_ms = shared.leave.time_left_ms(shared.now_ms())?;
    let high_ms = shared.run_times().high_ms(routed.route);
    let high_ms = high_ms.unwrap_or_else(|| shared.mean_run_ms(routed.service));
    (high_ms.min(routed.time_left_ms()) > left_ms).then(|| {
        let retry_after_ms = gateway::retry_after_ms(0.0, shared.random_value());
        verdict::Refusal::not_run(verdict::RefusalReason::Leaving, retry_after_ms)
    })
}

/// Decides whether a request is retried after a failed attempt, and charges the retry
/// budget.
fn is_retried(
    shared: &gateway::Shared,
    routed: &routed_request::RoutedRequest<'_>,
    history: &attempt_history::AttemptHistory,
    failure: attempt::AttemptFailure,
    body: &caller_body::CallerBody,
) -> bool {
    let context = history.retry_context(shared, routed);
    let decision = if body.is_replayable() {
        gateway::decide_retry(failure.end, &context)
    } else {
        gateway::RetryDecision::GiveUp
    };
    let reason = match decision {
        gateway::RetryDecision::GiveUp => None,
        gateway::RetryDecision::RetryOutsideBudget(reason) => Some(reason),
        gateway::RetryDecision::RetryWithinBudget(reason) if shared.try_retry(routed.service) => {
            Some(reason)
        }
        gateway::RetryDecision::RetryWithinBudget(_) => {
            shared.metrics.counters.add("retry.budget-used-up");
            None
        }
    };
    let Some(reason) = reason else {
        request_log::record_denied_retry(shared, routed, &context, decision);
        return false;
    };
    shared.metrics.counters.add_retry(reason);
    request_log::record_retry(shared, routed, &context, reason);
    true
}

/// Returns whether a request with this result may have reached a server.
fn may_have_run(result: &Result<response::Response, verdict::Refusal>) -> bool {
    !matches!(result, Err(refusal) if refusal.verdict == verdict::RunVerdict::NotRun)
}

/// Returns the server for the next attempt; `None` if there is none.
fn choose(
    shared: &gateway::Shared,
    routed: &routed_request::RoutedRequest<'_>,
    history: &attempt_history::AttemptHistory,
    place: Option<&request_queues::Place>,
) -> Option<gateway::Choice> {
    place.map_or_else(
        || server_choice::choose(shared, routed, history),
        |place| place.choose(routed, history),
    )
}

/// Waits until there is a free slot for the request. Returns its place; `None` if
/// requests do not wait, or if there is no server to wait for.
///
/// # Errors
///
/// Returns the final response if the request cannot be served in time, or if its key was
/// withdrawn meanwhile.
async fn wait_for_slot(
    shared: &sync::Arc<gateway::Shared>,
    routed: &mut routed_request::RoutedRequest<'_>,
    history: &mut attempt_history::AttemptHistory,
    version: u64,
) -> Result<Option<request_queues::Place>, Result<response::Response, verdict::Refusal>> {
    if !routed.may_wait || !server_choice::has_open_server(shared, routed, history) {
        return Ok(None);
    }
    let waited = request_queues::wait_for_slot(shared, routed).await;
    let place = waited.map_err(|refusal| {
        history.final_response(shared, routed, refusal.reason, refusal.retry_after_ms)
    })?;
    wait_after_pause(shared).await;
    match caller_identity::check_again(shared, routed, version) {
        Ok(()) => Ok(Some(place)),
        Err(refusal) => Err(history.refuse(shared, routed, refusal)),
    }
}

/// Waits until the state of this VM is confirmed if the process was paused.
async fn wait_after_pause(shared: &gateway::Shared) {
    while shared.pause_detector().must_wait(shared.now_ms()) {
        tokio::time::sleep(START_POLL_INTERVAL).await;
    }
}
