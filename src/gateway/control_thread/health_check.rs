//! Health checks of backend servers, to find out whether this VM reaches them.

use std::sync;
use std::time;

use http_body_util::BodyExt as _;

use crate::gateway;
use crate::gateway::traffic_thread::server_statement;
use crate::http1;
use crate::ports;

/// Time within which a server must respond to a health check. A busy server answers it
/// when a slot is free.
const RESPONSE_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Path of the health check of a service that names none.
const DEFAULT_PATH: &str = "/";

/// Starts the health checks that are due.
///
/// Any response shows that the VM reaches the servers, whatever it says of the server's
/// health: that is assessed from real requests.
pub fn start_due(shared: &sync::Arc<gateway::Shared>) {
    let now_ms = shared.now_ms();
    let count = shared.server_reach().take_due_checks(now_ms);
    if count == 0 {
        return;
    }
    let region = &shared.identity.region;
    let servers =
        shared
            .backend_pool()
            .servers_to_check(now_ms, count, region, shared.random_value());
    for server in servers {
        let shared = sync::Arc::clone(shared);
        tokio::spawn(async move {
            shared.metrics.counters.add("server.checked");
            if check(&shared, &server).await {
                shared.record_server_response();
            } else {
                shared.record_server_miss(server.incarnation());
            }
        });
    }
}

/// Returns whether the server responds to a health check.
async fn check(shared: &gateway::Shared, server: &ports::Backend) -> bool {
    let is_same_region = server.region == shared.identity.region;
    let options = shared.socket_options(is_same_region, RESPONSE_TIMEOUT);
    let Ok(mut connection) = http1::ClientConnection::open(server.address, &options).await else {
        return false;
    };
    let snapshot = shared.snapshot.load_full();
    let routes = snapshot.routes.as_ref();
    let paths = routes.map(|routes| &routes.configuration.health_paths);
    let path = paths.and_then(|paths| paths.get(&server.service));
    let request = http::Request::get(path.map_or(DEFAULT_PATH, String::as_str))
        .header(http::header::HOST, server.address.to_string())
        .body(http_body_util::Empty::new().map_err(|never| match never {}));
    let Ok(request) = request.map(|request| request.map(http_body_util::BodyExt::boxed_unsync))
    else {
        return false;
    };
    let response = tokio::time::timeout(RESPONSE_TIMEOUT, connection.exchange(request)).await;
    let Ok(Ok(response)) = response else {
        return false;
    };
    let headers = response.headers();
    let instance_id = headers.get(&shared.headers.instance_id);
    let is_same_server = instance_id.is_some_and(|id| id.as_bytes() == server.id.as_bytes());
    if is_same_server && server_statement::is_leaving(&shared.headers, headers) {
        shared.record_leaving(server.incarnation());
    }
    true
}
