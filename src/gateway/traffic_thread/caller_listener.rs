//! Listener for callers' connections.

use std::convert;
use std::future;
use std::net;
use std::pin;
use std::sync;
use std::time;

use hyper::server::conn::http1 as hyper_server;
use hyper_util::rt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::sync::watch;

use crate::gateway;
use crate::gateway::traffic_thread::caller_stream;
use crate::gateway::traffic_thread::caller_upload;
use crate::gateway::traffic_thread::in_flight;
use crate::gateway::traffic_thread::observed_body;
use crate::gateway::traffic_thread::response;
use crate::http1;
use crate::ports;
use crate::telemetry;

/// Limits on requests before the first configuration.
const INITIAL_LIMITS: ports::RequestLimits = ports::RequestLimits {
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
    max_body_bytes: 1 << 26,
    max_header_bytes: 16_384,
};
/// Number of connections that wait until they are accepted. The system drops any further one,
/// and callers that try again after a second have given up by then. The libraries' default is
/// 128.
const MAX_PENDING_CONNECTIONS: u32 = 1_024;
/// Pause after a failed accept, for example when no file descriptors are left.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(20);
/// Smallest read buffer that hyper accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8_192;
/// Largest limit on a request's head that takes effect, in bytes.
const MAX_HEADER_BYTES: usize = 1 << 20;
/// Size of the system's send buffer for a caller where responses are large, in bytes. The
/// system would buffer some megabytes for each caller that does not read, which are not
/// counted. At a round trip of 10 ms, this size allows 50 Mbit/s.
const SEND_BUFFER_BYTES: usize = 65_536;
/// Timeouts of callers' connections.
const SOCKET_OPTIONS: http1::SocketOptions = http1::SocketOptions {
    connect_timeout: time::Duration::from_secs(5),
    keepalive: time::Duration::from_secs(2),
    unacknowledged_timeout: time::Duration::from_secs(5),
};

/// Function that serves one request.
pub type Handler = sync::Arc<
    dyn Fn(
            http::Request<caller_upload::CallerUpload>,
        ) -> ports::BoxFuture<'static, response::Response>
        + Send
        + Sync,
>;

/// Service of the requests that arrive at a listener.
#[derive(Clone)]
pub struct Service {
    /// Serves one request.
    pub handler: Handler,
    /// Whether a shutdown waits until the responses have been written.
    pub is_awaited: bool,
}

/// Opens a listening socket.
///
/// # Errors
///
/// Returns the operating system's error if the address cannot be bound.
pub fn listen(address: net::SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match address {
        net::SocketAddr::V4(_) => TcpSocket::new_v4()?,
        net::SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(MAX_PENDING_CONNECTIONS)
}

/// Accepts connections until `closing` becomes `true`. Open connections are then
/// closed after their current request.
pub async fn serve(
    shared: sync::Arc<gateway::Shared>,
    listener: TcpListener,
    service: Service,
    mut closing: watch::Receiver<bool>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = wait_until_closing(&mut closing) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                if shared.has_downloads() {
                    let socket = socket2::SockRef::from(&stream);
                    let _ = socket.set_send_buffer_size(SEND_BUFFER_BYTES);
                }
                tokio::spawn(serve_connection(
                    sync::Arc::clone(&shared),
                    stream,
                    service.clone(),
                    closing.clone(),
                ));
            }
            Err(error) => {
                telemetry::Event::PortFailed.warn(&format!("name=accept.failed error=\"{error}\""));
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Waits until `closing` becomes `true`, or forever if its sender is dropped.
async fn wait_until_closing(closing: &mut watch::Receiver<bool>) {
    if closing.wait_for(|closing| *closing).await.is_err() {
        future::pending::<()>().await;
    }
}

fn limits(shared: &gateway::Shared) -> ports::RequestLimits {
    let snapshot = shared.snapshot.load();
    let routes = snapshot.routes.as_ref();
    routes.map_or(INITIAL_LIMITS, |routes| routes.configuration.limits)
}

async fn serve_connection(
    shared: sync::Arc<gateway::Shared>,
    stream: tokio::net::TcpStream,
    service: Service,
    mut closing: watch::Receiver<bool>,
) {
    let limits = limits(&shared);
    // A connection is also served if these socket options cannot be set.
    let _ = http1::set_socket_options(&stream, &SOCKET_OPTIONS);
    let unacknowledged_timeout = SOCKET_OPTIONS.unacknowledged_timeout;
    let (stream, observer) = caller_stream::CallerStream::new(stream, unacknowledged_timeout);
    let requests = sync::Arc::clone(&observer);
    let is_awaited = service.is_awaited;
    let counted = is_awaited.then(|| sync::Arc::clone(&shared));
    let service = hyper::service::service_fn(move |request: http::Request<_>| {
        let in_flight = counted.as_ref().map(in_flight::InFlightGuard::begin);
        let arrived_at = requests.begin_request(in_flight);
        let observer = sync::Arc::clone(&requests);
        let mut request = request.map(|body| caller_upload::CallerUpload::new(body, observer));
        request.extensions_mut().insert(arrived_at);
        request.extensions_mut().insert(sync::Arc::clone(&requests));
        let response = (service.handler)(request);
        let requests = sync::Arc::clone(&requests);
        async move {
            let response = response.await;
            requests.end_request();
            Ok::<_, convert::Infallible>(
                response.map(|body| observed_body::ObservedBody::new(body, requests)),
            )
        }
    });
    let max_header_bytes = limits.max_header_bytes.min(MAX_HEADER_BYTES);
    let connection = hyper_server::Builder::new()
        .timer(rt::TokioTimer::new())
        .header_read_timeout(time::Duration::from_millis(limits.idle_timeout_ms))
        .max_header_size(max_header_bytes)
        .max_buf_size(max_header_bytes.max(MIN_BUFFER_BYTES) * 2)
        .serve_connection(rt::TokioIo::new(stream), service);
    let mut connection = pin::pin!(connection);
    // Errors of a caller's connection show in the outcomes of its requests.
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = observer.caller_left() => return observer.end_writing(),
        () = wait_until_closing(&mut closing) => {
            connection.as_mut().graceful_shutdown();
            tokio::select! {
                ended = connection => ended,
                () = observer.caller_left() => return observer.end_writing(),
            }
        }
    };
    let carried = is_awaited.then(|| in_flight::InFlightGuard::begin(&shared));
    observer.end_writing();
    let error = ended.err();
    if error.as_ref().is_some_and(is_unreachable) {
        shared.metrics.counters.add("connection.caller-gone");
        let decision_log = &shared.decision_log;
        decision_log.record("connection.caller-gone", || observer.caller_field());
        return;
    }
    let is_idle = error.as_ref().is_some_and(hyper::Error::is_timeout);
    if is_idle && !observer.has_undelivered_bytes() {
        // The caller has sent nothing for a long time, and has got all that was written.
        return;
    }
    let is_invalid = error.is_some_and(|error| error.is_parse());
    let idle_timeout = time::Duration::from_millis(limits.idle_timeout_ms);
    let is_closed = observer.closed_by_caller(is_invalid, idle_timeout, carried);
    if !is_closed.await {
        shared.metrics.counters.add("connection.left-open");
        let decision_log = &shared.decision_log;
        decision_log.record("connection.left-open", || observer.caller_field());
    }
}

/// Returns whether a connection has ended because its caller acknowledges nothing.
fn is_unreachable(error: &hyper::Error) -> bool {
    let source = std::error::Error::source(error);
    let source = source.and_then(|source| source.downcast_ref::<std::io::Error>());
    source.is_some_and(|source| source.kind() == std::io::ErrorKind::TimedOut)
}
