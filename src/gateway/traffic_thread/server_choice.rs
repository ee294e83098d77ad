//! Choice of a server for a request of a caller.

use crate::gateway;
use crate::gateway::traffic_thread::attempt_history;
use crate::gateway::traffic_thread::routed_request;
use crate::verdict;

/// Retry delay sent to callers of a service without servers, in milliseconds.
/// Servers register within two heartbeats.
const NO_SERVER_RETRY_AFTER_MS: u64 = 700;

/// Returns the server for the next attempt; `None` if there is none.
pub fn choose(
    shared: &gateway::Shared,
    routed: &routed_request::RoutedRequest<'_>,
    history: &attempt_history::AttemptHistory,
) -> Option<gateway::Choice> {
    let request = choice_request(shared, routed, history);
    let choice = shared.backend_pool().choose(shared.now_ms(), &request)?;
    record_distance(shared, &choice);
    Some(choice)
}

/// Counts how far the chosen server is.
fn record_distance(shared: &gateway::Shared, choice: &gateway::Choice) {
    let is_same_zone = choice.backend.availability_zone == shared.identity.availability_zone;
    let name = match (choice.is_same_region, is_same_zone) {
        (true, true) => "choice.zone",
        (true, false) => "choice.region",
        (false, _) => "choice.other-region",
    };
    shared.metrics.counters.add(name);
}

/// Returns the server for the next attempt of a request that has waited for a free slot,
/// preferably one with a free slot; `None` if there is none.
pub fn choose_free(
    shared: &gateway::Shared,
    routed: &routed_request::RoutedRequest<'_>,
    history: &attempt_history::AttemptHistory,
) -> Option<gateway::Choice> {
    let request = choice_request(shared, routed, history);
    let choice = shared
        .backend_pool()
        .choose_free(shared.now_ms(), &request)?;
    record_distance(shared, &choice);
    Some(choice)
}

/// Returns whether there is a server for the next attempt, with or without a free slot.
pub fn has_open_server(
    shared: &gateway::Shared,
    routed: &routed_request::RoutedRequest<'_>,
    history: &attempt_history::AttemptHistory,
) -> bool {
    let request = choice_request(shared, routed, history);
    let now_ms = shared.now_ms();
    shared.backend_pool().has_open_server(now_ms, &request)
}

/// Returns the number of free slots of a service's servers.
pub fn free_slot_count(shared: &gateway::Shared, service: &str) -> u32 {
    let request = gateway::ChoiceRequest {
        availability_zone: &shared.identity.availability_zone,
        random_value: 0.0,
        excluded: &[],
        may_retry: false,
        region: &shared.identity.region,
        region_cost: shared.config.distance.region_cost,
        service,
        zone_cost: shared.config.distance.zone_cost,
    };
    shared
        .backend_pool()
        .free_slot_count(shared.now_ms(), &request)
}

/// Returns why there is no server for a request, and the time after which there may
/// be one, in milliseconds.
pub fn no_server(
    shared: &gateway::Shared,
    routed: &routed_request::RoutedRequest<'_>,
    history: &attempt_history::AttemptHistory,
) -> (verdict::RefusalReason, u64) {
    let request = choice_request(shared, routed, history);
    let now_ms = shared.now_ms();
    let next_open = shared.backend_pool().next_open(now_ms, &request);
    let (reason, open_ms) = match next_open {
        Some(gateway::SendPermission::Limited(open_ms)) => {
            (verdict::RefusalReason::ServerLimit, open_ms)
        }
        Some(gateway::SendPermission::Resting(open_ms)) => {
            (verdict::RefusalReason::ServerRest, open_ms)
        }
        _ => return (verdict::RefusalReason::NoServer, NO_SERVER_RETRY_AFTER_MS),
    };
    let wait_ms = open_ms.saturating_sub(now_ms);
    let retry_after_ms = wait_ms + gateway::retry_after_ms(0.0, shared.random_value());
    (reason, retry_after_ms)
}

fn choice_request<'a>(
    shared: &'a gateway::Shared,
    routed: &'a routed_request::RoutedRequest<'_>,
    history: &'a attempt_history::AttemptHistory,
) -> gateway::ChoiceRequest<'a> {
    let is_large = routed.route.kind.is_large();
    let distance = &shared.config.distance;
    gateway::ChoiceRequest {
        availability_zone: &shared.identity.availability_zone,
        random_value: shared.random_value(),
        excluded: &history.incarnations,
        may_retry: routed.route.kind.may_repeat() && history.attempts_left(routed) > 1,
        region: &shared.identity.region,
        region_cost: if is_large {
            distance.upload_region_cost
        } else {
            distance.region_cost
        },
        service: routed.service,
        zone_cost: if is_large {
            distance.upload_zone_cost
        } else {
            distance.zone_cost
        },
    }
}

/// Returns whether even the chosen server cannot end the request in time.
pub fn is_deadline_unmeetable(
    shared: &gateway::Shared,
    routed: &routed_request::RoutedRequest<'_>,
    choice: &gateway::Choice,
) -> bool {
    let mean_run_ms = shared.backend_pool().mean_run_ms(routed.service);
    let slot_count = choice.backend.slot_count;
    gateway::cannot_meet_deadline(
        choice.in_flight,
        slot_count,
        mean_run_ms,
        routed.time_left_ms(),
    )
}

/// Returns when the caller of a refused request is to come back, in milliseconds.
pub fn retry_after_ms(shared: &gateway::Shared, routed: &routed_request::RoutedRequest<'_>) -> u64 {
    let mean_run_ms = shared.backend_pool().mean_run_ms(routed.service);
    gateway::retry_after_ms(mean_run_ms, shared.random_value())
}
