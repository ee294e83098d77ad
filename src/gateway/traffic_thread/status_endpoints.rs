//! HTTP endpoints of this VM for readiness, entry points and metrics.

use std::net;
use std::sync;

use crate::gateway;
use crate::gateway::entry_points;
use crate::gateway::traffic_thread::caller_upload;
use crate::gateway::traffic_thread::response;

/// Path of the metrics endpoint.
const METRICS_PATH: &str = "/metrics";

/// Returns the response to a request for one of this VM's endpoints.
pub fn respond(
    shared: &sync::Arc<gateway::Shared>,
    request: &http::Request<caller_upload::CallerUpload>,
) -> response::Response {
    let path = request.uri().path();
    if path == shared.entry_points.readiness_path() {
        return if shared.is_ready() {
            response::plain_text(http::StatusCode::OK, "ready")
        } else {
            response::plain_text(http::StatusCode::SERVICE_UNAVAILABLE, "not ready")
        };
    }
    if path == METRICS_PATH {
        return response::plain_text(http::StatusCode::OK, &shared.metrics.render());
    }
    let Some(query) = shared.entry_points.parse(request.uri()) else {
        return response::plain_text(http::StatusCode::NOT_FOUND, "no such page");
    };
    shared.metrics.counters.add("entry-points.asked");
    let snapshot = shared.snapshot.load();
    let chosen = entry_points::choose(
        &shared.config,
        &snapshot.vms,
        snapshot.has_downloads,
        &query.availability_zone,
        &query.region,
    );
    let addresses: Vec<net::SocketAddr> = chosen.iter().map(|vm| vm.caller_address).collect();
    if addresses.is_empty() {
        return response::plain_text(
            http::StatusCode::SERVICE_UNAVAILABLE,
            "no entry VM is known",
        );
    }
    let lifetime_s = shared.entry_point_lifetime_s();
    let (media_type, body) = shared.entry_points.render(&addresses, lifetime_s);
    let mut response = http::Response::new(response::full_body(body));
    let media_type = http::HeaderValue::from_static(media_type);
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, media_type);
    response
}
