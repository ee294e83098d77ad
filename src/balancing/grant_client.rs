//! Client of a dispatcher on an entry VM.

use crate::balancing;
use crate::balancing::grant_state;
use crate::configs;
use crate::state_machine;
use crate::verdict;

/// Requests slots from one dispatcher and falls back to this VM's own picker.
///
/// After the dispatcher did not respond within `grant_timeout_ms`, requests
/// bypass it for `grant_pause_ms`. A failed dispatcher therefore delays only
/// the requests that were waiting for it and, after each pause, the requests
/// that arrive before the next timeout.
#[derive(Clone, Debug)]
pub struct GrantClient {
    config: configs::balancing::BalancingConfig,
    fallback_requests: u64,
    /// Time until which requests bypass the dispatcher.
    paused_until_ms: u64,
    requests: indexmap::IndexMap<u64, ClientRequest>,
}

#[derive(Clone, Debug)]
struct ClientRequest {
    deadline_ms: u64,
    excluded_server_id: Option<String>,
    expected_run_ms: u64,
    state: grant_state::GrantState,
}

impl GrantClient {
    /// Creates a client that assumes its dispatcher to be reachable.
    #[must_use]
    pub fn new(config: &configs::balancing::BalancingConfig) -> Self {
        Self {
            config: config.clone(),
            fallback_requests: 0,
            paused_until_ms: 0,
            requests: indexmap::IndexMap::new(),
        }
    }

    /// Returns the number of requests that fell back to this VM's own picker.
    #[must_use]
    pub const fn fallback_requests(&self) -> u64 {
        self.fallback_requests
    }

    /// Returns the time at which the next `Tick` is due, in milliseconds, or
    /// `None` when no timeout is pending.
    #[must_use]
    pub fn next_wakeup_ms(&self) -> Option<u64> {
        let requests = self.requests.values();
        requests
            .filter_map(|request| match request.state {
                grant_state::GrantState::Requested { requested_at_ms } => {
                    Some(requested_at_ms + self.config.grant_timeout_ms)
                }
                grant_state::GrantState::Queued { retry_at_ms } => Some(retry_at_ms),
                _ => None,
            })
            .min()
    }

    fn request_grant(
        &mut self,
        now_ms: u64,
        request_id: u64,
        mut request: ClientRequest,
    ) -> Vec<balancing::GrantClientAction> {
        if now_ms < self.paused_until_ms {
            self.fallback_requests += 1;
            request.state = grant_state::GrantState::OwnPicker {
                may_hold_slot: false,
            };
            self.requests.insert(request_id, request);
            return vec![balancing::GrantClientAction::UseOwnPicker { request_id }];
        }
        let action = request.to_grant_request(request_id);
        self.requests.insert(request_id, request);
        vec![action]
    }

    fn finish(&mut self, request_id: u64) -> Vec<balancing::GrantClientAction> {
        let Some(request) = self.requests.swap_remove(&request_id) else {
            return Vec::new();
        };
        let no_slot_held = grant_state::GrantState::OwnPicker {
            may_hold_slot: false,
        };
        if request.state == no_slot_held {
            return Vec::new();
        }
        vec![balancing::GrantClientAction::SendGrantReturn { request_id }]
    }

    fn granted(&mut self, request_id: u64, server_id: String) -> Vec<balancing::GrantClientAction> {
        self.paused_until_ms = 0;
        let Some(request) = self.requests.get_mut(&request_id) else {
            return vec![balancing::GrantClientAction::SendGrantReturn { request_id }];
        };
        match request.state {
            grant_state::GrantState::Requested { .. } | grant_state::GrantState::Queued { .. } => {
                request.state = grant_state::GrantState::Granted;
                vec![balancing::GrantClientAction::UseServer {
                    request_id,
                    server_id,
                }]
            }
            grant_state::GrantState::Granted => Vec::new(),
            grant_state::GrantState::OwnPicker { .. } => {
                request.state = grant_state::GrantState::OwnPicker {
                    may_hold_slot: false,
                };
                vec![balancing::GrantClientAction::SendGrantReturn { request_id }]
            }
        }
    }

    fn queued(&mut self, now_ms: u64, request_id: u64) {
        self.paused_until_ms = 0;
        if let Some(request) = self.requests.get_mut(&request_id)
            && matches!(request.state, grant_state::GrantState::Requested { .. })
        {
            let retry_at_ms = now_ms + self.config.grant_ask_again_ms;
            request.state = grant_state::GrantState::Queued { retry_at_ms };
        }
    }

    fn refused(
        &mut self,
        request_id: u64,
        refusal: verdict::Refusal,
    ) -> Vec<balancing::GrantClientAction> {
        self.paused_until_ms = 0;
        let is_waiting = self.requests.get(&request_id).is_some_and(|request| {
            matches!(
                request.state,
                grant_state::GrantState::Requested { .. } | grant_state::GrantState::Queued { .. }
            )
        });
        if !is_waiting {
            return Vec::new();
        }
        self.requests.swap_remove(&request_id);
        vec![balancing::GrantClientAction::Refuse {
            refusal,
            request_id,
        }]
    }

    fn check_timeouts(&mut self, now_ms: u64) -> Vec<balancing::GrantClientAction> {
        let mut actions = Vec::new();
        for (&request_id, request) in &mut self.requests {
            match request.state {
                grant_state::GrantState::Requested { requested_at_ms }
                    if now_ms >= requested_at_ms + self.config.grant_timeout_ms =>
                {
                    request.state = grant_state::GrantState::OwnPicker {
                        may_hold_slot: true,
                    };
                    self.fallback_requests += 1;
                    self.paused_until_ms = now_ms + self.config.grant_pause_ms;
                    actions.push(balancing::GrantClientAction::UseOwnPicker { request_id });
                }
                grant_state::GrantState::Queued { retry_at_ms } if now_ms >= retry_at_ms => {
                    request.state = grant_state::GrantState::Requested {
                        requested_at_ms: now_ms,
                    };
                    actions.push(request.to_grant_request(request_id));
                }
                _ => {}
            }
        }
        actions
    }
}

impl ClientRequest {
    fn to_grant_request(&self, request_id: u64) -> balancing::GrantClientAction {
        balancing::GrantClientAction::SendGrantRequest {
            deadline_ms: self.deadline_ms,
            excluded_server_id: self.excluded_server_id.clone(),
            expected_run_ms: self.expected_run_ms,
            request_id,
        }
    }
}

impl state_machine::StateMachine for GrantClient {
    type Action = balancing::GrantClientAction;
    type Event = balancing::GrantClientEvent;

    fn handle(&mut self, now_ms: u64, event: Self::Event) -> Vec<Self::Action> {
        let mut actions = self.check_timeouts(now_ms);
        match event {
            balancing::GrantClientEvent::GrantNeeded {
                deadline_ms,
                excluded_server_id,
                expected_run_ms,
                request_id,
            } => {
                let request = ClientRequest {
                    deadline_ms,
                    excluded_server_id,
                    expected_run_ms,
                    state: grant_state::GrantState::Requested {
                        requested_at_ms: now_ms,
                    },
                };
                actions.extend(self.request_grant(now_ms, request_id, request));
            }
            balancing::GrantClientEvent::Finish { request_id } => {
                actions.extend(self.finish(request_id));
            }
            balancing::GrantClientEvent::Granted {
                request_id,
                server_id,
            } => actions.extend(self.granted(request_id, server_id)),
            balancing::GrantClientEvent::Queued { request_id } => {
                self.queued(now_ms, request_id);
            }
            balancing::GrantClientEvent::Refused {
                refusal,
                request_id,
            } => actions.extend(self.refused(request_id, refusal)),
            balancing::GrantClientEvent::Tick => {}
        }
        actions
    }
}
