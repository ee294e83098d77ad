//! Handling of callers' requests up to their final response.

use std::convert;
use std::sync;
use std::sync::atomic;
use std::time;

use volo_http::context::ServerContext;
use volo_http::request;
use volo_http::response;

use crate::bundle;
use crate::claims;
use crate::configs;
use crate::context;
use crate::daemon;
use crate::daemon::keyed_requests::keyed_home;
use crate::daemon::traffic_threads::attempt_failure;
use crate::daemon::traffic_threads::header_names;
use crate::daemon::traffic_threads::prepared_request;
use crate::daemon::traffic_threads::reply;
use crate::daemon::traffic_threads::retry_after;
use crate::telemetry;
use crate::verdict;

/// Path at which callers query the entry points.
pub const ENTRY_POINTS_PATH: &str = "/.foxtailwinch/entry-points";
/// Minimum delay before a retry after a refusal that is unrelated to load, in
/// milliseconds.
const REFUSAL_RETRY_AFTER_MS: u64 = 1_000;

/// Handles callers' requests. Shared by the traffic threads.
pub struct TrafficHandler {
    /// Counters of requests, refusals and retries.
    pub counters: sync::Arc<telemetry::Counters>,
    /// Store of the keys whose home is this VM.
    pub home: sync::Arc<daemon::ClaimHome>,
    /// Snapshot last published by the control thread.
    pub snapshot: arc_swap::ArcSwap<daemon::Snapshot>,
    clock: sync::Arc<dyn context::Clock>,
    entry: daemon::KeyedEntry,
    in_flight_requests: sync::Arc<atomic::AtomicU64>,
    keyed_home: sync::Arc<daemon::KeyedHome>,
    request_ids: daemon::RequestIdGenerator,
    runner: sync::Arc<daemon::Runner>,
    settings: sync::Arc<configs::DaemonConfig>,
}

/// Dependencies of a [`TrafficHandler`].
pub struct TrafficHandlerParts {
    /// Source of time and random seeds.
    pub context: context::Context,
    /// Counters of requests, refusals and retries.
    pub counters: sync::Arc<telemetry::Counters>,
    /// Forwards keyed requests whose home is another VM.
    pub entry: daemon::KeyedEntry,
    /// Store of the keys whose home is this VM.
    pub home: sync::Arc<daemon::ClaimHome>,
    /// Runs requests on backend servers.
    pub runner: sync::Arc<daemon::Runner>,
    /// Settings of the daemon.
    pub settings: sync::Arc<configs::DaemonConfig>,
}

/// HTTP service of the caller port.
#[derive(Clone)]
pub struct CallerService {
    /// Handler of the requests.
    pub traffic: sync::Arc<TrafficHandler>,
}

/// Request whose head was accepted.
struct ReceivedRequest {
    head: http::request::Parts,
    key: Option<claims::ClaimKey>,
    key_error: Option<claims::KeyError>,
    parsed_head: daemon::RequestHead,
}

/// Request whose head was refused.
struct RefusedHead {
    refusal: verdict::Refusal,
    request_id: String,
}

/// Request with its route and service.
struct RoutedRequest {
    definition: bundle::Service,
    dispatcher: Option<std::net::SocketAddr>,
    idempotent: bool,
    organisation_limit: bundle::OrganisationLimit,
    service: sync::Arc<daemon::ServiceRuntime>,
}

impl TrafficHandler {
    /// Creates a handler without a configuration, which refuses all requests.
    #[must_use]
    pub fn new(parts: TrafficHandlerParts) -> Self {
        let keyed_home = daemon::KeyedHome::new(
            sync::Arc::clone(&parts.home),
            sync::Arc::clone(&parts.runner),
            parts.settings.claims.answer_limit_bytes,
        );
        Self {
            clock: sync::Arc::clone(&parts.context.clock),
            counters: parts.counters,
            entry: parts.entry,
            home: parts.home,
            in_flight_requests: sync::Arc::default(),
            keyed_home: sync::Arc::new(keyed_home),
            request_ids: daemon::RequestIdGenerator::new(&parts.context),
            runner: parts.runner,
            settings: parts.settings,
            snapshot: arc_swap::ArcSwap::from_pointee(daemon::Snapshot::default()),
        }
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub fn in_flight_requests(&self) -> u64 {
        self.in_flight_requests.load(atomic::Ordering::Relaxed)
    }

    async fn handle(&self, request: request::Request) -> response::Response {
        if request.uri().path() == ENTRY_POINTS_PATH {
            return self.entry_points();
        }
        let in_flight = daemon::InFlightGuard::start(&self.in_flight_requests);
        self.counters.add("request");
        let request = request.map(daemon::DiscardingBody::wrap);
        let mut response = match self.receive(request) {
            Ok((received, body)) => self.handle_received(received, body).await,
            Err(refused) => reply::refusal(&refused.refusal, &refused.request_id),
        };
        reply::set_header(
            response.headers_mut(),
            header_names::VM,
            &self.settings.vm_id,
        );
        self.count_response(&response);
        in_flight.hold_until_sent(response)
    }

    /// Parses the head of a request. A request with an invalid head is refused
    /// as not run, unless it has a key: an earlier attempt with the same key
    /// may have run.
    fn receive(
        &self,
        request: request::Request,
    ) -> Result<(ReceivedRequest, volo_http::body::Body), RefusedHead> {
        let parsed_head = daemon::RequestHead::parse(&request, || self.request_ids.next_id());
        let parsed_head = parsed_head.map_err(|reason| RefusedHead {
            refusal: invalid_head_refusal(&request, reason),
            request_id: daemon::RequestHead::parse_request_id(&request),
        })?;
        if request.headers().len() > self.settings.max_header_count {
            let reason = verdict::RefusalReason::RequestInvalid;
            return Err(RefusedHead {
                refusal: invalid_head_refusal(&request, reason),
                request_id: parsed_head.request_id,
            });
        }
        let parsed_key = parsed_head
            .idempotency_key
            .as_deref()
            .map(|key| claims::ClaimKey::parse(&parsed_head.organisation, key));
        let (key, key_error) = match parsed_key {
            Some(Ok(key)) => (Some(key), None),
            Some(Err(error)) => (None, Some(error)),
            None => (None, None),
        };
        let (head, body) = request.into_parts();
        let received = ReceivedRequest {
            head,
            key,
            key_error,
            parsed_head,
        };
        Ok((received, body))
    }

    async fn handle_received(
        &self,
        received: ReceivedRequest,
        body: volo_http::body::Body,
    ) -> response::Response {
        let key = received.key.clone();
        let is_home = key.as_ref().is_none_or(|key| self.home.is_home_of(key));
        if is_home {
            return self.handle_locally(received, body, key).await;
        }
        let request_id = received.parsed_head.request_id.clone();
        match key {
            Some(_) if received.parsed_head.is_forwarded => {
                keyed_home::ask_witness_response(&request_id)
            }
            Some(key) => self.forward_to_home(received, body, key).await,
            None => refuse(verdict::RefusalReason::RequestInvalid, &request_id),
        }
    }

    /// Handles a request that has no key or whose home is this VM.
    async fn handle_locally(
        &self,
        received: ReceivedRequest,
        body: volo_http::body::Body,
        key: Option<claims::ClaimKey>,
    ) -> response::Response {
        let request_id = received.parsed_head.request_id.clone();
        let (routed, payload) = match self
            .route_and_read_body(&received, body, key.is_some())
            .await
        {
            Ok(routed_and_read) => routed_and_read,
            Err(refusal) => return self.refuse_locally(key, refusal, &request_id).await,
        };
        let prepared = self.prepare(received, &routed, &payload);
        let Some(key) = key else {
            return match self
                .runner
                .run(&prepared, &payload, &routed.organisation_limit)
                .await
            {
                Ok(response) => response,
                Err(refusal) => reply::refusal(&refusal, &request_id),
            };
        };
        let home = sync::Arc::clone(&self.keyed_home);
        let mut response = home
            .handle(prepared, payload, key, routed.organisation_limit)
            .await;
        let not_run = verdict::RunVerdict::NotRun.as_str();
        let verdict = response.headers().get(header_names::VERDICT);
        if verdict.is_some_and(|verdict| verdict == not_run) {
            // The witness in the caller's current prefix may be gone, so the
            // caller receives a prefix for the new key under which it retries.
            self.offer_key_prefix(&mut response);
        }
        response
    }

    /// Refuses a request before its key is claimed. The key is closed first, so
    /// that the verdict "not run" stays true.
    async fn refuse_locally(
        &self,
        key: Option<claims::ClaimKey>,
        refusal: verdict::Refusal,
        request_id: &str,
    ) -> response::Response {
        if let Some(key) = key {
            return self.keyed_home.refuse(&key, refusal, request_id).await;
        }
        let mut response = reply::refusal(&refusal, request_id);
        if refusal.reason == verdict::RefusalReason::KeyPrefixMissing {
            self.offer_key_prefix(&mut response);
        }
        response
    }

    fn offer_key_prefix(&self, response: &mut response::Response) {
        let snapshot = self.snapshot.load();
        if let Some(key_prefix) = &snapshot.own_key_prefix {
            reply::set_header(response.headers_mut(), header_names::KEY_PREFIX, key_prefix);
        }
    }

    /// Forwards a keyed request to its home, which is another VM.
    async fn forward_to_home(
        &self,
        received: ReceivedRequest,
        body: volo_http::body::Body,
        key: claims::ClaimKey,
    ) -> response::Response {
        let request_id = received.parsed_head.request_id.clone();
        let snapshot = self.snapshot.load_full();
        let home = snapshot.entry_vms.get(&key.prefix.home.peer_address);
        let service_deadline_ms = self.forwarded_time_limit_ms(&snapshot, &received);
        let time_left_ms = received
            .parsed_head
            .time_limit_ms
            .map_or(service_deadline_ms, |time_limit_ms| {
                time_limit_ms.min(service_deadline_ms)
            });
        let idle_timeout = time::Duration::from_millis(self.settings.caller_idle_ms);
        let body = daemon::RequestBody::new(body, u64::MAX, idle_timeout);
        let payload = daemon::Payload::read(body, received.parsed_head.content_length_bytes).await;
        let Ok(payload) = payload else {
            // An earlier attempt may have run. Only the home and the witness
            // know.
            let refusal = verdict::Refusal::may_have_run(
                verdict::RefusalReason::ConnectionLost,
                retry_after::jittered_ms(REFUSAL_RETRY_AFTER_MS),
            );
            return reply::refusal(&refusal, &request_id);
        };
        let fingerprint = prepared_request::fingerprint(
            &received.head,
            &received.parsed_head.organisation,
            &payload,
        );
        let request = daemon::KeyedRequest {
            deadline: tokio::time::Instant::now() + time::Duration::from_millis(time_left_ms),
            deadline_ms: self.clock.now_ms() + time_left_ms,
            fingerprint,
            head: received.head,
            home_address: home.map(|home| home.caller_address),
            key,
            payload,
            request_id,
        };
        self.entry.handle(&request).await
    }

    /// Returns the time limit of a request that another VM runs, in
    /// milliseconds.
    fn forwarded_time_limit_ms(
        &self,
        snapshot: &daemon::Snapshot,
        received: &ReceivedRequest,
    ) -> u64 {
        let configuration = snapshot.configuration.as_ref();
        configuration
            .and_then(|configuration| {
                let path = received.head.uri.path();
                let found = configuration
                    .routes
                    .find(received.head.method.as_str(), path)?;
                let services = &configuration.in_force.bundle.services;
                Some(services.get(found.service_name)?.deadline_ms)
            })
            .unwrap_or(self.settings.unknown_service_deadline_ms)
    }

    /// Finds the route and reads the body. A body that is to be streamed is left
    /// unread.
    async fn route_and_read_body(
        &self,
        received: &ReceivedRequest,
        body: volo_http::body::Body,
        is_keyed: bool,
    ) -> Result<(RoutedRequest, daemon::Payload), verdict::Refusal> {
        let routed = self.route(received).map_err(not_run)?;
        let content_length_bytes = received.parsed_head.content_length_bytes;
        if content_length_bytes.is_some_and(|bytes| bytes > routed.definition.max_body_bytes) {
            return Err(not_run(verdict::RefusalReason::BodyTooLarge));
        }
        if !routed.idempotent && !is_keyed {
            let refusal = not_run(verdict::RefusalReason::KeyPrefixMissing);
            let error = received.key_error.as_ref();
            return Err(error.map_or(refusal, |error| error.refusal(refusal.retry_after_ms)));
        }
        let idle_timeout = time::Duration::from_millis(self.settings.caller_idle_ms);
        let limit_bytes = routed.definition.max_body_bytes;
        let body = daemon::RequestBody::new(body, limit_bytes, idle_timeout);
        let payload = daemon::Payload::read(body, content_length_bytes)
            .await
            .map_err(|body_error| not_run(attempt_failure::body_error_reason(body_error)))?;
        Ok((routed, payload))
    }

    fn route(&self, received: &ReceivedRequest) -> Result<RoutedRequest, verdict::RefusalReason> {
        let snapshot = self.snapshot.load_full();
        let configuration = snapshot
            .configuration
            .as_ref()
            .ok_or(verdict::RefusalReason::NoConfiguration)?;
        let bundle = &configuration.in_force.bundle;
        let found = configuration
            .routes
            .find(received.head.method.as_str(), received.head.uri.path())
            .ok_or(verdict::RefusalReason::NoRoute)?;
        let definition = bundle.services.get(found.service_name);
        let service = configuration.services.get(found.service_name);
        let (Some(definition), Some(service)) = (definition, service) else {
            return Err(verdict::RefusalReason::NoRoute);
        };
        let organisation_limit = bundle
            .organisation_limits
            .get(&received.parsed_head.organisation)
            .unwrap_or(&bundle.default_organisation_limit);
        Ok(RoutedRequest {
            definition: definition.clone(),
            dispatcher: configuration.dispatchers.get(found.service_name).copied(),
            idempotent: found.idempotent,
            organisation_limit: organisation_limit.clone(),
            service: sync::Arc::clone(service),
        })
    }

    fn prepare(
        &self,
        received: ReceivedRequest,
        routed: &RoutedRequest,
        payload: &daemon::Payload,
    ) -> daemon::PreparedRequest {
        let service_deadline_ms = routed.definition.deadline_ms;
        let time_left_ms = received
            .parsed_head
            .time_limit_ms
            .map_or(service_deadline_ms, |time_limit_ms| {
                time_limit_ms.min(service_deadline_ms)
            });
        daemon::PreparedRequest {
            deadline: tokio::time::Instant::now() + time::Duration::from_millis(time_left_ms),
            deadline_ms: self.clock.now_ms() + time_left_ms,
            definition: routed.definition.clone(),
            dispatcher: routed.dispatcher,
            fingerprint: prepared_request::fingerprint(
                &received.head,
                &received.parsed_head.organisation,
                payload,
            ),
            head: received.head,
            idempotent: routed.idempotent,
            organisation: received.parsed_head.organisation,
            request_id: received.parsed_head.request_id,
            service: sync::Arc::clone(&routed.service),
        }
    }

    fn entry_points(&self) -> response::Response {
        let snapshot = self.snapshot.load();
        let response = daemon::EntryPointResponse {
            configuration_version: snapshot
                .configuration
                .as_ref()
                .map(|configuration| configuration.in_force.version.clone()),
            entry_points: snapshot.entry_points.clone(),
        };
        let text = serde_json::to_string(&response).unwrap_or_default();
        reply::json(http::StatusCode::OK, text)
    }

    fn count_response(&self, response: &response::Response) {
        let headers = response.headers();
        let text = |name| {
            headers
                .get(name)
                .and_then(|value: &http::HeaderValue| value.to_str().ok())
        };
        match (text(header_names::REASON), text(header_names::VERDICT)) {
            (Some(reason), Some(verdict)) => {
                self.counters.add(&format!("refusal.{reason}.{verdict}"));
                telemetry::Event::RequestRefused
                    .debug(|| format!("request refused: reason {reason}, verdict {verdict}"));
            }
            _ => self.counters.add("answer"),
        }
    }
}

impl motore::Service<ServerContext, request::Request> for CallerService {
    type Response = response::Response;
    type Error = convert::Infallible;

    async fn call(
        &self,
        _context: &mut ServerContext,
        request: request::Request,
    ) -> Result<Self::Response, Self::Error> {
        Ok(self.traffic.handle(request).await)
    }
}

/// Creates the refusal of a request with an invalid head. If the request has a
/// key, the verdict is "may have run", because the key has not been looked up.
fn invalid_head_refusal<B>(
    request: &http::Request<B>,
    reason: verdict::RefusalReason,
) -> verdict::Refusal {
    if request
        .headers()
        .contains_key(header_names::IDEMPOTENCY_KEY)
    {
        verdict::Refusal::may_have_run(reason, retry_after::jittered_ms(REFUSAL_RETRY_AFTER_MS))
    } else {
        not_run(reason)
    }
}

fn not_run(reason: verdict::RefusalReason) -> verdict::Refusal {
    verdict::Refusal::not_run(reason, retry_after::jittered_ms(REFUSAL_RETRY_AFTER_MS))
}

fn refuse(reason: verdict::RefusalReason, request_id: &str) -> response::Response {
    reply::refusal(&not_run(reason), request_id)
}
