//! State of a service on this entry VM: its queue, its servers and its retry
//! budget.

use std::num;
use std::sync;

use tokio::sync::oneshot;

use crate::admission;
use crate::balancing;
use crate::bundle;
use crate::configs;
use crate::context;
use crate::daemon;
use crate::health;
use crate::state_machine::StateMachine as _;
use crate::verdict;

/// Time for which a server that reported draining receives no new requests, in
/// milliseconds. A server that stays in the bundle is used again afterwards.
const DRAINING_TTL_MS: u64 = 10_000;
/// Time for which a shed request marks the service as busy, in milliseconds.
const SHED_WINDOW_MS: u64 = 1_000;
/// Minimum interval between trial requests to a server that cannot be connected
/// to, in milliseconds.
const TRIAL_REQUEST_INTERVAL_MS: u64 = 1_000;
/// Weight of the newest sample in the mean run time, in permille.
const RUN_TIME_GAIN_PERMILLE: u64 = 50;
/// Mean run time assumed before the first response, in microseconds.
const INITIAL_RUN_TIME_US: u64 = 10_000;

/// Decision on a queued request: `None` admits it.
type AdmissionDecision = Option<verdict::Refusal>;

/// State of a service on this entry VM, shared by the traffic threads.
pub struct ServiceRuntime {
    /// Name of the service.
    pub name: String,
    admission: configs::AdmissionConfig,
    clock: sync::Arc<dyn context::Clock>,
    balancing: configs::BalancingConfig,
    cold_ramp_ms: u64,
    state: sync::Mutex<State>,
}

struct State {
    draining_updates: Vec<String>,
    gate: admission::ServiceGate,
    last_shed_ms: Option<u64>,
    mean_run_us: u64,
    next_request_id: u64,
    picker: Box<dyn balancing::Picker>,
    retry_budget: admission::RetryBudget,
    servers: indexmap::IndexMap<String, daemon::ServerRuntime>,
    service: sync::Arc<bundle::Service>,
    decision_senders: indexmap::IndexMap<u64, oneshot::Sender<AdmissionDecision>>,
}

impl ServiceRuntime {
    /// Creates the state of a service that has run no request.
    #[must_use]
    pub fn new(
        name: &str,
        service: sync::Arc<bundle::Service>,
        configs: &configs::DaemonConfig,
        context: &context::Context,
    ) -> Self {
        let seed = context.seed;
        let state = State {
            draining_updates: Vec::new(),
            gate: admission::ServiceGate::new(&configs.admission, &service, seed),
            last_shed_ms: None,
            mean_run_us: INITIAL_RUN_TIME_US,
            next_request_id: 0,
            picker: Box::new(balancing::TwoChoices::new(&configs.balancing, seed)),
            retry_budget: admission::RetryBudget::new(&configs.admission, &service),
            servers: indexmap::IndexMap::new(),
            service,
            decision_senders: indexmap::IndexMap::new(),
        };
        Self {
            admission: configs.admission.clone(),
            clock: sync::Arc::clone(&context.clock),
            balancing: configs.balancing.clone(),
            cold_ramp_ms: configs.balancing.cold_ramp_ms,
            name: name.to_owned(),
            state: sync::Mutex::new(state),
        }
    }

    /// Applies a changed definition of the service. Running and queued requests
    /// are kept.
    pub fn update(&self, service: sync::Arc<bundle::Service>, placement: daemon::Placement<'_>) {
        let now_ms = self.clock.now_ms();
        let mut state = self.lock();
        let slots: u32 = service
            .servers
            .values()
            .map(|server| server.slot_count)
            .sum();
        let vm_count = num::NonZeroU32::new(placement.entry_vm_count);
        let vm_count = vm_count.unwrap_or(num::NonZeroU32::MIN);
        let concurrent_requests =
            admission::ServiceGate::vm_share_requests(&self.admission, slots, vm_count).max(1);
        state
            .servers
            .retain(|id, _| service.servers.contains_key(id));
        for server_id in service.servers.keys() {
            state.servers.entry(server_id.clone()).or_default();
        }
        if state.service.retry_budget_percent != service.retry_budget_percent {
            state.retry_budget = admission::RetryBudget::new(&self.admission, &service);
        }
        let queue_limit_requests = service.queue_limit_requests;
        state.service = service;
        state.handle_gate_event(
            now_ms,
            admission::GateEvent::QueueLimitChanged {
                queue_limit_requests,
            },
        );
        state.handle_gate_event(
            now_ms,
            admission::GateEvent::CapacityChanged {
                concurrent_requests,
            },
        );
    }

    /// Waits until the request may run.
    ///
    /// # Errors
    ///
    /// Returns the refusal as soon as it is certain that the request cannot
    /// run.
    pub async fn admit(
        self: &sync::Arc<Self>,
        deadline_ms: u64,
        organisation: &str,
    ) -> Result<daemon::Permit, verdict::Refusal> {
        let now_ms = self.clock.now_ms();
        let (sender, receiver) = oneshot::channel();
        let request_id = {
            let mut state = self.lock();
            let request_id = state.next_request_id;
            state.next_request_id += 1;
            state.decision_senders.insert(request_id, sender);
            let expected_run_ms = state.mean_run_us / 1_000;
            state.handle_gate_event(
                now_ms,
                admission::GateEvent::Arrive {
                    deadline_ms,
                    expected_run_ms,
                    organisation: organisation.to_owned(),
                    request_id,
                },
            );
            request_id
        };
        // The permit is created before the request is admitted: if the caller
        // disconnects while the request is queued, dropping the permit removes
        // the request from the queue.
        let permit = daemon::Permit::new(request_id, sync::Arc::clone(self));
        match receiver.await {
            Ok(None) => Ok(permit),
            Ok(Some(refusal)) => Err(refusal),
            Err(_) => Err(verdict::Refusal::not_run(
                verdict::RefusalReason::ServiceLimit,
                DRAINING_TTL_MS,
            )),
        }
    }

    /// Selects a server for the request. Returns `None` if no server can run
    /// it.
    #[must_use]
    pub fn pick_server(
        self: &sync::Arc<Self>,
        request: &balancing::PickRequest<'_>,
        placement: daemon::Placement<'_>,
    ) -> Option<daemon::SelectedServer> {
        let now_ms = self.clock.now_ms();
        let mut guard = self.lock();
        let state = &mut *guard;
        let views = server_views(&state.service, &state.servers, now_ms, placement);
        let index = state.picker.pick(now_ms, request, &views)?;
        let server_id = views.get(index)?.server_id.to_owned();
        let same_region = views.get(index)?.same_region;
        let address = state.service.servers.get(&server_id)?.address;
        let server = state.servers.get_mut(&server_id)?;
        server.in_flight_requests += 1;
        Some(daemon::SelectedServer {
            address,
            runtime: sync::Arc::clone(self),
            same_region,
            server_id,
        })
    }

    /// Selects the server that a dispatcher granted. Returns `None` if the
    /// server is not in the bundle, or if this VM currently sends it no
    /// requests.
    #[must_use]
    pub fn use_granted_server(
        self: &sync::Arc<Self>,
        server_id: &str,
    ) -> Option<daemon::SelectedServer> {
        let now_ms = self.clock.now_ms();
        let mut state = self.lock();
        let address = state.service.servers.get(server_id)?.address;
        let server = state.servers.get_mut(server_id)?;
        if server.is_draining(now_ms) || server.share_permille(now_ms) == 0 {
            return None;
        }
        server.in_flight_requests += 1;
        Some(daemon::SelectedServer {
            address,
            runtime: sync::Arc::clone(self),
            same_region: true,
            server_id: server_id.to_owned(),
        })
    }

    /// Returns the state of the region's servers as their dispatcher needs it.
    #[must_use]
    pub fn dispatcher_servers(&self, region: &str) -> Vec<balancing::DispatcherServer> {
        let now_ms = self.clock.now_ms();
        let state = self.lock();
        let servers = state.service.servers.iter();
        let in_region = servers.filter(|(_, server)| server.region == region);
        in_region
            .filter_map(|(server_id, server)| {
                let runtime = state.servers.get(server_id)?;
                let cold_since_ms = runtime.cold_since_ms;
                Some(balancing::DispatcherServer {
                    cold_since_ms: cold_since_ms
                        .filter(|_| runtime.is_cold(now_ms, self.cold_ramp_ms)),
                    draining: runtime.is_draining(now_ms) || runtime.is_down,
                    server_id: server_id.clone(),
                    slot_count: server.slot_count,
                    weight_permille: runtime.share_permille(now_ms),
                })
            })
            .collect()
    }

    /// Returns the expected run time of a request, in milliseconds.
    #[must_use]
    pub fn expected_run_ms(&self) -> u64 {
        self.lock().mean_run_us / 1_000
    }

    /// Records the state that a server reported in a response.
    pub fn record_server_report(&self, server_id: &str, report: daemon::ServerReport) {
        let now_ms = self.clock.now_ms();
        let mut guard = self.lock();
        let state = &mut *guard;
        let Some(server) = state.servers.get_mut(server_id) else {
            return;
        };
        if let Some(load_permille) = report.load_permille {
            server.reported_load_permille = Some(load_permille);
            server.reported_at_ms = now_ms;
        }
        if report.draining {
            // The update is sent again when less than half of the TTL is left,
            // to renew the records of the other VMs before they expire.
            let renew_ms = now_ms + DRAINING_TTL_MS / 2;
            let is_new = server
                .draining_until_ms
                .is_none_or(|until_ms| until_ms < renew_ms);
            server.draining_until_ms = Some(now_ms + DRAINING_TTL_MS);
            if is_new {
                state.draining_updates.push(server_id.to_owned());
            }
        }
    }

    /// Records that another entry VM or a probe found the server draining.
    pub fn record_draining(&self, server_id: &str) {
        let report = daemon::ServerReport {
            draining: true,
            ..daemon::ServerReport::default()
        };
        self.record_server_report(server_id, report);
    }

    /// Records that a server shed a request because all of its slots were in
    /// use.
    pub fn record_shed(&self, server_id: &str) {
        let now_ms = self.clock.now_ms();
        let event = balancing::PickerEvent::Shed { server_id };
        let mut state = self.lock();
        state.picker.observe(now_ms, event);
        state.last_shed_ms = Some(now_ms);
    }

    /// Adds the run time of a request to the mean.
    pub fn record_run_time(&self, run_us: u64) {
        let mut state = self.lock();
        let previous_share = state.mean_run_us * (1_000 - RUN_TIME_GAIN_PERMILLE);
        state.mean_run_us = (previous_share + run_us * RUN_TIME_GAIN_PERMILLE) / 1_000;
    }

    /// Ejects a server until `until_ms` on this process's clock.
    pub fn set_ejected_until(&self, server_id: &str, until_ms: u64) {
        if let Some(server) = self.lock().servers.get_mut(server_id) {
            server.ejected_until_ms = until_ms;
        }
    }

    /// Sets the share of its normal work that a server receives while it is not
    /// ejected, in permille.
    pub fn set_weight(&self, server_id: &str, weight_permille: u32) {
        if let Some(server) = self.lock().servers.get_mut(server_id) {
            server.weight_permille = weight_permille;
        }
    }

    /// Counts a first attempt towards the retry budget.
    pub fn record_first_attempt(&self) {
        let now_ms = self.clock.now_ms();
        self.lock().retry_budget.record_first_attempt(now_ms);
    }

    /// Withdraws a retry from the budget. Returns `false` if the budget is used
    /// up.
    #[must_use]
    pub fn try_retry(&self) -> bool {
        let now_ms = self.clock.now_ms();
        self.lock().retry_budget.try_retry(now_ms)
    }

    /// Returns the ids of the draining servers, including those that a
    /// rehearsal treats as draining.
    #[must_use]
    pub fn draining_servers(&self) -> Vec<String> {
        let now_ms = self.clock.now_ms();
        let state = self.lock();
        let draining = state
            .servers
            .iter()
            .filter(|(_, server)| server.is_draining(now_ms));
        draining.map(|(server_id, _)| server_id.clone()).collect()
    }

    /// Returns the states of the servers that are not known to be down.
    #[must_use]
    pub fn server_states(&self) -> Vec<health::ServerState> {
        let now_ms = self.clock.now_ms();
        let state = self.lock();
        let up = state.servers.iter().filter(|(_, server)| !server.is_down);
        up.map(|(server_id, server)| health::ServerState {
            cold: server.is_cold(now_ms, self.cold_ramp_ms),
            draining: server.is_draining(now_ms),
            server_id: server_id.clone(),
        })
        .collect()
    }

    /// Returns whether any server of the region accepts new requests.
    #[must_use]
    pub fn has_server_in(&self, region: &str) -> bool {
        let now_ms = self.clock.now_ms();
        let state = self.lock();
        state.service.servers.iter().any(|(server_id, server)| {
            let runtime = state.servers.get(server_id);
            server.region == region
                && runtime.is_some_and(|runtime| {
                    !runtime.is_down
                        && !runtime.is_draining(now_ms)
                        && runtime.share_permille(now_ms) > 0
                })
        })
    }

    /// Returns whether the service is so busy that this VM's own picker would
    /// often select a server without a free slot.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        let now_ms = self.clock.now_ms();
        let state = self.lock();
        let has_shed = state
            .last_shed_ms
            .is_some_and(|shed_ms| now_ms < shed_ms + SHED_WINDOW_MS);
        let oldest_ms = now_ms.saturating_sub(self.balancing.load_report_max_age_ms);
        let reports = state
            .servers
            .values()
            .filter(|server| server.reported_at_ms >= oldest_ms)
            .filter_map(|server| server.reported_load_permille);
        let (count, sum) = reports.fold((0_u32, 0_u32), |(count, sum), load| {
            (count + 1, sum.saturating_add(load))
        });
        let mean_permille = sum.checked_div(count).unwrap_or(0);
        has_shed || mean_permille >= self.balancing.dispatch_load_permille
    }

    /// Returns the number of servers that could receive their full share of
    /// work if no rehearsal were running.
    #[must_use]
    pub fn healthy_server_count(&self) -> usize {
        let now_ms = self.clock.now_ms();
        let state = self.lock();
        let healthy = state.servers.values().filter(|server| {
            !server.is_down
                && !server.has_reported_draining(now_ms)
                && !server.is_cold(now_ms, self.cold_ramp_ms)
                && server.share_permille(now_ms) > 0
        });
        healthy.count()
    }

    /// Returns the ids of the servers that were found draining since the last
    /// call.
    #[must_use]
    pub fn take_draining_updates(&self) -> Vec<String> {
        std::mem::take(&mut self.lock().draining_updates)
    }

    /// Treats the servers in `server_ids` as draining during a rehearsal, and
    /// no other servers. Returns whether anything changed.
    pub fn set_rehearsal_servers(&self, server_ids: &indexmap::IndexSet<String>) -> bool {
        let mut is_changed = false;
        for (server_id, server) in &mut self.lock().servers {
            let in_rehearsal = server_ids.contains(server_id);
            is_changed |= server.in_rehearsal != in_rehearsal;
            server.in_rehearsal = in_rehearsal;
        }
        is_changed
    }

    /// Records whether connecting to the server succeeded. A server that
    /// becomes reachable again is cold.
    pub fn record_connection_result(&self, server_id: &str, is_connected: bool) {
        let now_ms = self.clock.now_ms();
        if let Some(server) = self.lock().servers.get_mut(server_id) {
            if is_connected && server.is_down {
                server.cold_since_ms = Some(now_ms);
            }
            server.is_down = !is_connected;
            server.next_trial_request_ms = now_ms + TRIAL_REQUEST_INTERVAL_MS;
        }
    }

    /// Returns the number of running and queued requests.
    #[must_use]
    pub fn unfinished_request_count(&self) -> usize {
        let state = self.lock();
        state.gate.queued_requests() + state.gate.in_flight_requests()
    }

    /// Ends a running request, or removes a queued one whose caller
    /// disconnected.
    pub fn release_permit(&self, request_id: u64) {
        let now_ms = self.clock.now_ms();
        let mut state = self.lock();
        let event = if state.decision_senders.swap_remove(&request_id).is_some() {
            admission::GateEvent::Cancel { request_id }
        } else {
            admission::GateEvent::Finish { request_id }
        };
        state.handle_gate_event(now_ms, event);
    }

    /// Records that a request no longer runs on the server.
    pub fn release_server(&self, server_id: &str) {
        if let Some(server) = self.lock().servers.get_mut(server_id) {
            server.in_flight_requests = server.in_flight_requests.saturating_sub(1);
        }
    }

    /// Handles the timeouts of queued requests.
    pub fn tick(&self) {
        let now_ms = self.clock.now_ms();
        let mut state = self.lock();
        if state.gate.queued_requests() > 0 {
            state.handle_gate_event(now_ms, admission::GateEvent::Tick);
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl State {
    fn handle_gate_event(&mut self, now_ms: u64, event: admission::GateEvent) {
        let actions = self.gate.handle(now_ms, event);
        for action in actions {
            let (request_id, decision) = match action {
                admission::GateAction::Admit { request_id } => (request_id, None),
                admission::GateAction::Refuse {
                    refusal,
                    request_id,
                } => (request_id, Some(refusal)),
            };
            if let Some(sender) = self.decision_senders.swap_remove(&request_id) {
                // If the caller has disconnected, the send fails. The dropped
                // permit then frees the place at the gate.
                let _ = sender.send(decision);
            }
        }
    }
}

fn server_views<'a>(
    service: &'a bundle::Service,
    runtimes: &'a indexmap::IndexMap<String, daemon::ServerRuntime>,
    now_ms: u64,
    placement: daemon::Placement<'_>,
) -> Vec<balancing::ServerView<'a>> {
    let servers = service.servers.iter();
    servers
        .filter_map(|(server_id, server)| {
            let runtime = runtimes.get(server_id)?;
            Some(balancing::ServerView {
                cold_since_ms: runtime.cold_since_ms,
                draining: runtime.is_draining(now_ms),
                same_zone: server.availability_zone == placement.availability_zone,
                own_in_flight_requests: runtime.in_flight_requests,
                reported_at_ms: runtime.reported_at_ms,
                reported_load_permille: runtime.reported_load_permille,
                same_region: server.region == placement.region,
                server_id,
                slot_count: server.slot_count,
                weight_permille: runtime.share_permille(now_ms),
            })
        })
        .collect()
}
