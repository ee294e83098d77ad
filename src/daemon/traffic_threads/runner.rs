//! Running of requests on backend servers, with retries where they are safe.

use std::sync;
use std::time;

use tokio::sync::mpsc;
use volo_http::body;
use volo_http::response;

use crate::balancing;
use crate::configs;
use crate::context;
use crate::daemon;
use crate::daemon::traffic_threads::attempt_failure;
use crate::daemon::traffic_threads::header_names;
use crate::daemon::traffic_threads::server_client;
use crate::health;
use crate::http1;
use crate::telemetry;
use crate::verdict;

/// Maximum number of backend servers to which one request may be sent. A
/// request whose servers crashed may itself be the cause, so it never reaches a
/// third one.
const MAX_REACHED_SERVERS_PER_REQUEST: usize = 2;
/// Maximum number of servers that one request may try to connect to. A server
/// that cannot be connected to receives no byte and does not count as reached.
const MAX_TRIED_SERVERS_PER_REQUEST: usize = 4;

/// Runs requests on backend servers.
pub struct Runner {
    client: daemon::ServerClient,
    clock: sync::Arc<dyn context::Clock>,
    counters: sync::Arc<telemetry::Counters>,
    organisation_gate: sync::Arc<daemon::OrganisationGate>,
    outcomes: mpsc::Sender<daemon::OutcomeReport>,
    quarantine: sync::Arc<daemon::SharedQuarantine>,
    settings: sync::Arc<configs::DaemonConfig>,
    slot_client: sync::Arc<daemon::SlotClient>,
    vm_gate: sync::Arc<daemon::VmGate>,
}

/// Server of one attempt, with the slot granted by the dispatcher.
struct Target {
    server: daemon::SelectedServer,
    _slot: Option<daemon::SlotGuard>,
}

/// Guards that an attempt holds until its response has been sent to the caller.
struct AttemptGuards {
    _organisation: daemon::OrganisationGuard,
    _permit: daemon::Permit,
    _vm_guard: daemon::VmGuard,
    _target: Target,
}

impl Runner {
    /// Creates a runner from its dependencies.
    #[must_use]
    pub fn new(parts: daemon::RunnerParts) -> Self {
        Self {
            client: parts.client,
            clock: parts.clock,
            counters: parts.counters,
            organisation_gate: parts.organisation_gate,
            outcomes: parts.outcomes,
            quarantine: parts.quarantine,
            settings: parts.settings,
            slot_client: parts.slot_client,
            vm_gate: parts.vm_gate,
        }
    }

    /// Runs a request and returns its response, whose body is streamed.
    ///
    /// # Errors
    ///
    /// Returns a refusal, whose verdict states whether the request may have
    /// run.
    pub async fn run(
        &self,
        prepared: &daemon::PreparedRequest,
        payload: &daemon::Payload,
        limit: &crate::bundle::OrganisationLimit,
    ) -> Result<response::Response, verdict::Refusal> {
        if self
            .quarantine
            .contains(prepared.fingerprint, self.clock.now_ms())
        {
            return Err(verdict::Refusal::not_run(
                verdict::RefusalReason::Quarantined,
                self.quarantine.retry_after_ms(),
            ));
        }
        let priority = prepared.definition.priority;
        let vm_guard = self.vm_gate.try_start(priority, payload.memory_bytes())?;
        let organisation = self
            .organisation_gate
            .try_start(&prepared.organisation, limit)?;
        let permit = prepared
            .service
            .admit(prepared.deadline_ms, &prepared.organisation)
            .await?;
        prepared.service.record_first_attempt();
        let mut history = daemon::AttemptHistory::default();
        loop {
            let target = self.choose_server(prepared, &history).await?;
            if let Some(retry) = history.pending_retry.take() {
                self.counters.add_retry(retry);
            }
            let server_id = target.server.server_id.clone();
            let sent_at = tokio::time::Instant::now();
            match self.attempt(prepared, payload, &target.server).await {
                Ok(response) => {
                    let guards = AttemptGuards {
                        _organisation: organisation,
                        _permit: permit,
                        _vm_guard: vm_guard,
                        _target: target,
                    };
                    return Ok(
                        self.forward_response(prepared, payload, server_id, response, guards)
                    );
                }
                Err(failure) => {
                    drop(target);
                    self.report(prepared, &server_id, failure.outcome, sent_at.elapsed());
                    history.record(server_id, &failure);
                    history.pending_retry =
                        Some(self.check_retry(prepared, payload, &history, &failure)?);
                }
            }
        }
    }

    /// Selects the server of the next attempt. The dispatcher decides, or this
    /// VM's own picker if no dispatcher is reachable or needed.
    async fn choose_server(
        &self,
        prepared: &daemon::PreparedRequest,
        history: &daemon::AttemptHistory,
    ) -> Result<Target, verdict::Refusal> {
        let (decision, slot) = self.request_slot(prepared, history).await;
        if prepared.time_left_ms() == 0 {
            let reason = verdict::RefusalReason::DeadlineExceeded;
            return Err(history.refusal(reason, verdict::RunVerdict::NotRun));
        }
        let server = match decision {
            daemon::SlotDecision::OwnPicker => self.pick_server(prepared, history),
            daemon::SlotDecision::Refused(refusal) => return Err(history.apply_to(refusal)),
            daemon::SlotDecision::Server(server_id) => {
                // This VM may avoid the server for a reason that the dispatcher
                // does not know yet.
                let granted = prepared.service.use_granted_server(&server_id);
                granted.or_else(|| self.pick_server(prepared, history))
            }
        };
        // A retry that finds no server is refused with the failure of the
        // previous attempt.
        let reason = history
            .last_reason
            .unwrap_or(verdict::RefusalReason::NoServer);
        let server = server.ok_or_else(|| history.refusal(reason, verdict::RunVerdict::NotRun))?;
        Ok(Target {
            server,
            _slot: slot,
        })
    }

    async fn request_slot(
        &self,
        prepared: &daemon::PreparedRequest,
        history: &daemon::AttemptHistory,
    ) -> (daemon::SlotDecision, Option<daemon::SlotGuard>) {
        // A dispatcher grants only slots of its own region. If the region has
        // no usable server, this VM's picker spills the request to another
        // region.
        let has_server_in_region = prepared.service.has_server_in(&self.settings.region);
        // While the service has free capacity, the round trip to the dispatcher
        // costs more than the few requests that this VM's own picker sends to a
        // full server.
        let should_request_slot = has_server_in_region && prepared.service.is_busy();
        let Some(dispatcher) = prepared.dispatcher.filter(|_| should_request_slot) else {
            return (daemon::SlotDecision::OwnPicker, None);
        };
        let request = daemon::SlotRequest {
            deadline_ms: prepared.deadline_ms,
            dispatcher,
            excluded_server_id: history.tried_servers.last().cloned(),
            expected_run_ms: prepared.service.expected_run_ms(),
            service: &prepared.service.name,
        };
        let (decision, slot) = self.slot_client.request_slot(request).await;
        (decision, Some(slot))
    }

    fn pick_server(
        &self,
        prepared: &daemon::PreparedRequest,
        history: &daemon::AttemptHistory,
    ) -> Option<daemon::SelectedServer> {
        let tried_server_ids: Vec<&str> =
            history.tried_servers.iter().map(String::as_str).collect();
        let request = balancing::PickRequest {
            excluded: &tried_server_ids,
            may_spill: self.vm_gate.may_spill(prepared.definition.priority),
        };
        prepared.service.pick_server(&request, self.placement())
    }

    fn placement(&self) -> daemon::Placement<'_> {
        daemon::Placement {
            availability_zone: &self.settings.availability_zone,
            // Not used for picking a server.
            entry_vm_count: 1,
            region: &self.settings.region,
        }
    }

    /// Sends the request once and checks the head of the response.
    async fn attempt(
        &self,
        prepared: &daemon::PreparedRequest,
        payload: &daemon::Payload,
        server: &daemon::SelectedServer,
    ) -> Result<(response::Response, time::Duration), daemon::AttemptFailure> {
        let head = server_client::forwarded_head(
            &prepared.head,
            &prepared.request_id,
            prepared.time_left_ms(),
        );
        let started = tokio::time::Instant::now();
        let sent = self
            .client
            .send(server.address, &head, payload.body(), prepared.deadline)
            .await;
        let is_connected = !matches!(sent, Err(daemon::SendError::Connect));
        prepared
            .service
            .record_connection_result(&server.server_id, is_connected);
        let response =
            sent.map_err(|error| attempt_failure::from_send_error(error, prepared, payload))?;
        let waiting_since = payload.last_read().unwrap_or(started).max(started);
        let latency = waiting_since.elapsed();
        if !server.same_region {
            self.counters.add("spill.request");
            self.vm_gate
                .record_spill(spilled_bytes(&prepared.head, &response));
        }
        let report = daemon::ServerReport::parse(response.headers());
        if report.not_run {
            prepared.service.record_shed(&server.server_id);
        }
        prepared
            .service
            .record_server_report(&server.server_id, report);
        attempt_failure::check_response(&response, prepared, report)?;
        Ok((response, latency))
    }

    /// Returns the reason for a retry on another server.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the request must not be sent again.
    fn check_retry(
        &self,
        prepared: &daemon::PreparedRequest,
        payload: &daemon::Payload,
        history: &daemon::AttemptHistory,
        failure: &daemon::AttemptFailure,
    ) -> Result<verdict::RetryReason, verdict::Refusal> {
        let refusal = history.refusal(failure.reason, failure.verdict);
        let Some(retry) = failure.retry else {
            return Err(refusal);
        };
        let is_limit_reached = history.reached_server_count >= MAX_REACHED_SERVERS_PER_REQUEST
            || history.tried_servers.len() >= MAX_TRIED_SERVERS_PER_REQUEST;
        if is_limit_reached || !payload.is_replayable() {
            return Err(refusal);
        }
        if !prepared.service.try_retry() {
            self.counters.add("retry.budget-used-up");
            return Err(refusal);
        }
        Ok(retry)
    }

    fn forward_response(
        &self,
        prepared: &daemon::PreparedRequest,
        payload: &daemon::Payload,
        server_id: String,
        (response, latency): (response::Response, time::Duration),
        guards: AttemptGuards,
    ) -> response::Response {
        let is_server_error = response.status().is_server_error();
        let latency_us = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        let (mut head, body) = response.into_parts();
        http1::remove_connection_headers(&mut head.headers);
        for name in header_names::FLEET_RESPONSE_HEADERS {
            head.headers.remove(name);
        }
        let reporter = self.reporter(prepared, server_id);
        let service = sync::Arc::clone(&prepared.service);
        let is_streamed = matches!(payload, daemon::Payload::Stream(_));
        let on_end = move |end| {
            let kind = outcome_kind(end, is_server_error);
            if kind == Some(health::OutcomeKind::Answered) && !is_streamed {
                service.record_run_time(latency_us);
            }
            reporter.report(kind, latency_us);
            drop(guards);
        };
        let body = daemon::ResponseBody::new(body, prepared.deadline, on_end);
        response::Response::from_parts(head, body::Body::from_body(body))
    }

    fn report(
        &self,
        prepared: &daemon::PreparedRequest,
        server_id: &str,
        kind: Option<health::OutcomeKind>,
        run_time: time::Duration,
    ) {
        let run_time_us = u64::try_from(run_time.as_micros()).unwrap_or(u64::MAX);
        self.reporter(prepared, server_id.to_owned())
            .report(kind, run_time_us);
    }

    fn reporter(
        &self,
        prepared: &daemon::PreparedRequest,
        server_id: String,
    ) -> daemon::OutcomeReporter {
        daemon::OutcomeReporter {
            counters: sync::Arc::clone(&self.counters),
            fingerprint: prepared.fingerprint,
            outcomes: self.outcomes.clone(),
            server_id,
            service: prepared.service.name.clone(),
        }
    }
}

/// Returns the stated lengths of the request and response bodies that cross to
/// another region, in bytes. Bodies without a stated length are not counted.
fn spilled_bytes(head: &http::request::Parts, response: &response::Response) -> u64 {
    let content_length_bytes = |headers: &http::HeaderMap| -> u64 {
        headers
            .get(http::header::CONTENT_LENGTH)
            .and_then(|length| length.to_str().ok()?.parse().ok())
            .unwrap_or(0)
    };
    content_length_bytes(&head.headers).saturating_add(content_length_bytes(response.headers()))
}

const fn outcome_kind(
    end: daemon::ResponseEnd,
    is_server_error: bool,
) -> Option<health::OutcomeKind> {
    match end {
        daemon::ResponseEnd::Cancelled => None,
        daemon::ResponseEnd::Complete if is_server_error => Some(health::OutcomeKind::Failed),
        daemon::ResponseEnd::Complete => Some(health::OutcomeKind::Answered),
        daemon::ResponseEnd::TimedOut => Some(health::OutcomeKind::TimedOut),
        daemon::ResponseEnd::Truncated => Some(health::OutcomeKind::Truncated),
    }
}
