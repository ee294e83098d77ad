//! Relays requests to other entry VMs while this VM does not reach the servers.

use std::net;
use std::sync;

use crate::gateway;
use crate::gateway::traffic_thread::attempt_history;
use crate::gateway::traffic_thread::caller_body;
use crate::gateway::traffic_thread::relay_exchange;
use crate::gateway::traffic_thread::response;
use crate::gateway::traffic_thread::routed_request;
use crate::verdict;

/// Number of failed connections to servers after which another VM is to handle the
/// request.
const CONNECT_FAILURES_TO_RELAY: u32 = 2;
/// Maximum number of VMs that a request is relayed to. Most VMs of a region may be cut
/// off, and each declines at once.
const MAX_RELAYS: usize = 8;

/// Lets another entry VM handle a request that this VM cannot send to a server itself.
///
/// Returns `None` if this VM is to go on by itself: it is not cut off, and no other VM
/// has handled the request.
pub async fn run_if_out_of_reach(
    shared: &sync::Arc<gateway::Shared>,
    routed: &routed_request::RoutedRequest<'_>,
    history: &mut attempt_history::AttemptHistory,
    body: &mut caller_body::CallerBody,
    version: u64,
) -> Option<Result<response::Response, verdict::Refusal>> {
    let is_cut_off = shared.server_reach().is_cut_off();
    let is_out_of_reach = history.connect_failures_count >= CONNECT_FAILURES_TO_RELAY;
    if !is_cut_off && (!is_out_of_reach || history.has_been_declined) {
        return None;
    }
    // The other VM may decline, and a body that is not buffered is lost then. It is kept
    // for the servers that this VM reaches.
    if !is_cut_off && !body.is_buffered() {
        return None;
    }
    if routed.relay.is_none() {
        if !routed.reserve_memory(shared).await {
            let reason = verdict::RefusalReason::MemoryLimit;
            let retry_after_ms = gateway::retry_after_ms(0.0, shared.random_value());
            return Some(history.final_response(shared, routed, reason, retry_after_ms));
        }
        let terms = gateway::RelayTerms {
            max_attempts: history.attempts_left(routed),
            version,
        };
        let relayed = run(shared, routed, body, terms).await;
        if relayed.is_some() {
            return relayed;
        }
        history.has_been_declined = true;
        if !is_cut_off {
            return None;
        }
    }
    let reason = verdict::RefusalReason::ServersUnreachable;
    let retry_after_ms = gateway::retry_after_ms(0.0, shared.random_value());
    Some(history.final_response(shared, routed, reason, retry_after_ms))
}

/// Relays a request to other entry VMs until one of them handles it. Returns `None` if
/// none does; the request has not run then.
async fn run(
    shared: &sync::Arc<gateway::Shared>,
    routed: &routed_request::RoutedRequest<'_>,
    body: &mut caller_body::CallerBody,
    terms: gateway::RelayTerms,
) -> Option<Result<response::Response, verdict::Refusal>> {
    let mut tried = Vec::new();
    while tried.len() < MAX_RELAYS && body.is_replayable() && routed.time_left_ms() > 0 {
        let peer = choose(shared, &tried)?;
        tried.push(peer);
        let terms = gateway::RelayTerms {
            version: shared.relay_peers().required_version(terms.version),
            ..terms
        };
        let end = relay_exchange::run(shared, routed, body, peer, terms).await;
        record(shared, routed, peer, &end);
        match end {
            relay_exchange::RelayEnd::Handled(response) => return Some(Ok(response)),
            relay_exchange::RelayEnd::Declined => {
                let now_ms = shared.now_ms();
                shared.relay_peers().record_declined(now_ms, peer);
            }
            relay_exchange::RelayEnd::Unanswered(reason) => {
                let retry_after_ms = gateway::retry_after_ms(0.0, shared.random_value());
                return Some(Err(verdict::Refusal::may_have_run(reason, retry_after_ms)));
            }
        }
    }
    None
}

/// Returns the header that states how this VM handled a relayed request.
pub fn outcome(
    shared: &gateway::Shared,
    result: &Result<response::Response, verdict::Refusal>,
) -> http::HeaderValue {
    let is_declined = result.as_ref().is_err_and(|refusal| {
        refusal.verdict == verdict::RunVerdict::NotRun
            && matches!(
                refusal.reason,
                verdict::RefusalReason::NoConfiguration
                    | verdict::RefusalReason::ServersUnreachable
            )
    });
    if is_declined {
        return relay_exchange::DECLINED;
    }
    let snapshot = shared.snapshot.load();
    let routes = snapshot.routes.as_ref();
    http::HeaderValue::from(routes.map_or(0, |routes| routes.configuration.version))
}

fn choose(shared: &gateway::Shared, tried: &[net::SocketAddr]) -> Option<net::SocketAddr> {
    let snapshot = shared.snapshot.load();
    let request = gateway::RelayRequest {
        config: &shared.config,
        has_downloads: snapshot.has_downloads,
        identity: &shared.identity,
        random_value: shared.random_value(),
        tried,
        vms: &snapshot.vms,
    };
    shared.relay_peers().choose(shared.now_ms(), &request)
}

fn record(
    shared: &gateway::Shared,
    routed: &routed_request::RoutedRequest<'_>,
    peer: net::SocketAddr,
    end: &relay_exchange::RelayEnd,
) {
    let (name, outcome) = match end {
        relay_exchange::RelayEnd::Handled(response) => {
            ("request.relayed", response.status().to_string())
        }
        relay_exchange::RelayEnd::Declined => ("relay.declined", "declined".to_owned()),
        relay_exchange::RelayEnd::Unanswered(reason) => {
            ("relay.unanswered", reason.as_str().to_owned())
        }
    };
    shared.metrics.counters.add(name);
    shared.decision_log.record(name, || {
        format!(
            "id={}{} service={} vm={peer} outcome=\"{outcome}\" left_ms={}",
            routed.request_id,
            routed.organisation_fields(),
            routed.service,
            routed.time_left_ms()
        )
    });
}
