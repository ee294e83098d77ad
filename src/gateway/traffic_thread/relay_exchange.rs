//! Exchange of a relayed request and its response with another entry VM.

use std::net;
use std::sync;
use std::time;

use xxhash_rust::xxh3;

use crate::gateway;
use crate::gateway::traffic_thread::attempt;
use crate::gateway::traffic_thread::body_read;
use crate::gateway::traffic_thread::caller_body;
use crate::gateway::traffic_thread::response;
use crate::gateway::traffic_thread::response_stream;
use crate::gateway::traffic_thread::routed_request;
use crate::http1;
use crate::verdict;

/// Header of a relayed request and of the response to it.
///
/// In a request, the [`gateway::RelayTerms`]. In a response, [`DECLINED`], or the
/// version of the configuration by which the request was handled.
pub const RELAY_HEADER: http::HeaderName = http::HeaderName::from_static("x-foxtailwinch-relay");
/// Header of a relayed request that states the caller's organisation: the
/// [`gateway::OrganisationProof`].
pub const ORGANISATION_HEADER: http::HeaderName =
    http::HeaderName::from_static("x-foxtailwinch-organisation");
/// States that the VM has not handled a relayed request and another VM may.
pub const DECLINED: http::HeaderValue = http::HeaderValue::from_static("declined");

/// Time for which a connection to another VM stays idle. VMs close idle connections of
/// callers later than that.
const IDLE_TIME: time::Duration = time::Duration::from_secs(3);

/// How a relay to one VM ended.
pub enum RelayEnd {
    /// The VM handled the request.
    Handled(response::Response),
    /// The request was not sent, or the VM has declined it.
    Declined,
    /// The VM may have handled the request, but its response is missing or unusable.
    Unanswered(verdict::RefusalReason),
}

/// Sends a request to another VM and reads its response.
pub async fn run(
    shared: &sync::Arc<gateway::Shared>,
    routed: &routed_request::RoutedRequest<'_>,
    body: &mut caller_body::CallerBody,
    peer: net::SocketAddr,
    terms: gateway::RelayTerms,
) -> RelayEnd {
    let connection_key = xxh3::xxh3_64(peer.to_string().as_bytes());
    let kept = shared.relay_connections.take(connection_key);
    let mut connection = match kept {
        Some(connection) => connection,
        None => match open(shared, routed, peer).await {
            Some(connection) => connection,
            None => return RelayEnd::Declined,
        },
    };
    let Some(body) = body.attempt_body() else {
        return RelayEnd::Declined;
    };
    let request = relayed_request(shared, routed, body, terms);
    let head = match tokio::time::timeout_at(routed.deadline, connection.exchange(request)).await {
        Ok(Ok(head)) => head,
        Ok(Err(http1::ExchangeError::NotSent)) => return RelayEnd::Declined,
        Ok(Err(http1::ExchangeError::ConnectionBroken { .. })) => {
            return RelayEnd::Unanswered(verdict::RefusalReason::ConnectionLost);
        }
        Err(_) => return RelayEnd::Unanswered(verdict::RefusalReason::DeadlineExceeded),
    };
    let has_matching_id = attempt::has_matching_id(shared, routed, &head);
    let is_signed = head.headers().contains_key(&shared.headers.signature);
    if !has_matching_id || (head.status().is_success() && !is_signed) {
        return RelayEnd::Unanswered(verdict::RefusalReason::AnswerMismatched);
    }
    let is_kept = !http1::closes_connection(head.headers());
    let (mut parts, mut incoming) = head.into_parts();
    http1::remove_connection_headers(&mut parts.headers);
    let answered = parts.headers.remove(RELAY_HEADER);
    let is_declined = answered.as_ref() == Some(&DECLINED);
    let source = body_read::Source::EntryVm;
    let read = body_read::read(shared, routed, source, parts.status, &mut incoming);
    let body = match tokio::time::timeout_at(routed.deadline, read).await {
        _ if is_declined => return RelayEnd::Declined,
        Ok(Ok(read)) if read.is_complete => {
            if is_kept {
                shared
                    .relay_connections
                    .put(connection_key, connection, IDLE_TIME);
            }
            response::parts_body(read.parts)
        }
        Ok(Ok(read)) => {
            let stream = response_stream::ResponseStream {
                choice: None,
                connection,
                deadline: routed.caller_deadline,
                first: read.parts.into(),
                memory: routed.memory.clone(),
                rest: incoming,
                shared: sync::Arc::clone(shared),
            };
            stream.into_body()
        }
        Ok(Err(_)) => return RelayEnd::Unanswered(verdict::RefusalReason::AnswerTruncated),
        Err(_) => return RelayEnd::Unanswered(verdict::RefusalReason::DeadlineExceeded),
    };
    let version = answered.and_then(|value| value.to_str().ok()?.parse().ok());
    if let Some(version) = version {
        shared.relay_peers().record_version(version);
    }
    RelayEnd::Handled(http::Response::from_parts(parts, body))
}

async fn open(
    shared: &gateway::Shared,
    routed: &routed_request::RoutedRequest<'_>,
    peer: net::SocketAddr,
) -> Option<http1::ClientConnection> {
    let snapshot = shared.snapshot.load_full();
    let vm = snapshot.vms.iter().find(|vm| vm.caller_address == peer);
    let is_same_region = vm.is_some_and(|vm| vm.region == shared.identity.region);
    let options = shared.socket_options(is_same_region, routed.time_left());
    http1::ClientConnection::open(peer, &options).await.ok()
}

/// Builds the request to another VM: the caller's without its connection headers, with
/// the remaining time, the terms of the relay and the proof of the organisation.
fn relayed_request(
    shared: &gateway::Shared,
    routed: &routed_request::RoutedRequest<'_>,
    body: http1::RequestBody,
    terms: gateway::RelayTerms,
) -> http::Request<http1::RequestBody> {
    let mut request = attempt::forwarded_request(shared, routed, body);
    if let Ok(terms) = http::HeaderValue::from_str(&terms.to_string()) {
        request.headers_mut().insert(RELAY_HEADER, terms);
    }
    let snapshot = shared.snapshot.load();
    if let (Some(organisation), Some(key), Some(routes)) =
        (routed.organisation, routed.key, &snapshot.routes)
    {
        let proof = gateway::OrganisationProof {
            name: organisation.name.clone(),
            proof: routes.organisations.relay_proof(&key, routed.request_id),
        };
        if let Ok(proof) = http::HeaderValue::from_str(&proof.to_string()) {
            request.headers_mut().insert(ORGANISATION_HEADER, proof);
        }
    }
    request
}
