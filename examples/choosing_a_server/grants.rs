//! Dispatchers and their messages.

use foxtailwinch::balancing;
use foxtailwinch::configs;
use foxtailwinch::state_machine::StateMachine as _;

use super::event;
use super::fleet;

/// Number of grant ids per request, one for each sending.
const GRANTS_PER_REQUEST: u64 = 8;
const REGION_COUNT: usize = 2;

impl fleet::Fleet {
    /// Restarts the dispatcher of each region without state.
    pub(super) fn restart_dispatchers(&mut self) {
        let config = configs::balancing::BalancingConfig::default();
        let admission_config = configs::admission::AdmissionConfig::default();
        self.dispatchers = (0..REGION_COUNT)
            .map(|region| {
                let seed = self.scenario.seed ^ (region as u64 + 1_000);
                balancing::Dispatcher::new(&config, &admission_config, seed)
            })
            .collect();
        self.update_dispatchers();
    }

    /// Sends the list of servers that are up to the dispatchers.
    pub(super) fn update_dispatchers(&mut self) {
        for region in 0..REGION_COUNT {
            let servers = self.backends.iter().enumerate();
            let servers = servers
                .filter(|(_, backend)| backend.is_up && backend.zone / 2 == region)
                .map(|(index, backend)| balancing::DispatcherServer {
                    cold_since_ms: backend.cold_since_ms,
                    draining: false,
                    server_id: self.server_ids[index].clone(),
                    slot_count: self.scenario.slot_count,
                    weight_permille: 1_000,
                })
                .collect();
            self.handle_dispatcher_event(
                region,
                balancing::DispatcherEvent::ServersChanged { servers },
            );
        }
    }

    /// Passes an event to a dispatcher and sends its responses.
    pub(super) fn handle_dispatcher_event(
        &mut self,
        region: usize,
        event: balancing::DispatcherEvent,
    ) {
        let now_ms = self.now_ms();
        let dispatcher = &mut self.dispatchers[region];
        let actions = dispatcher.handle(now_ms, event);
        if let Some(wakeup_ms) = dispatcher.next_wakeup_ms()
            && self.dispatcher_wakeups[region].schedule(now_ms, wakeup_ms.max(now_ms + 1))
        {
            self.push_at_ms(
                wakeup_ms.max(now_ms + 1),
                event::Event::DispatcherTick { region },
            );
        }
        for action in actions {
            let (to, event) = to_client_event(action);
            let vm: usize = to.parse().expect("VMs are named by their index");
            self.send_dispatcher_message(region, vm, event::Event::Client { event, vm });
        }
    }

    /// Requests a grant from the dispatcher. If the policy is another one or overload
    /// protection is off, lets the VM's picker choose a server.
    pub(super) fn choose_server(&mut self, request: usize) {
        let uses_dispatcher = self.scenario.policy == super::scenario::Policy::Dispatcher;
        if !uses_dispatcher || !self.scenario.has_overload_protection {
            self.pick_locally(request);
            return;
        }
        let waiting_request = &self.requests[request];
        let excluded = waiting_request.excluded;
        let event = balancing::GrantClientEvent::GrantNeeded {
            deadline_ms: waiting_request.deadline_us / 1_000,
            excluded_server_id: excluded.map(|server| self.server_ids[server].clone()),
            expected_run_ms: self.scenario.mean_run_ms,
            request_id: self.grant_id(request),
        };
        self.handle_client_event(self.requests[request].vm, event);
    }

    /// Returns the grant of a request to the dispatcher, if it has one.
    pub(super) fn return_grant(&mut self, request: usize) {
        let request_id = self.grant_id(request);
        let event = balancing::GrantClientEvent::Finish { request_id };
        self.handle_client_event(self.requests[request].vm, event);
    }

    /// Passes an event to a VM's grant client and executes the resulting actions.
    pub(super) fn handle_client_event(&mut self, vm: usize, event: balancing::GrantClientEvent) {
        let now_ms = self.now_ms();
        let client = &mut self.vms[vm].client;
        let actions = client.handle(now_ms, event);
        if let Some(wakeup_ms) = client.next_wakeup_ms()
            && self.client_wakeups[vm].schedule(now_ms, wakeup_ms.max(now_ms + 1))
        {
            let event = balancing::GrantClientEvent::Tick;
            self.push_at_ms(
                wakeup_ms.max(now_ms + 1),
                event::Event::Client { event, vm },
            );
        }
        for action in actions {
            self.execute(vm, action);
        }
    }

    fn execute(&mut self, vm: usize, action: balancing::GrantClientAction) {
        let region = self.vms[vm].zone / 2;
        match action {
            balancing::GrantClientAction::Refuse {
                refusal,
                request_id,
            } => self.refuse(to_request(request_id), refusal.retry_after_ms),
            balancing::GrantClientAction::SendGrantRequest {
                deadline_ms,
                excluded_server_id,
                expected_run_ms,
                request_id,
            } => {
                let event = balancing::DispatcherEvent::GrantRequested {
                    deadline_ms,
                    excluded_server_id,
                    expected_run_ms,
                    from: vm.to_string(),
                    message_id: request_id,
                    request_id,
                };
                self.send_dispatcher_message(
                    region,
                    vm,
                    event::Event::AtDispatcher { event, region },
                );
            }
            balancing::GrantClientAction::SendGrantReturn { request_id } => {
                let event = balancing::DispatcherEvent::GrantReturned {
                    from: vm.to_string(),
                    request_id,
                };
                self.send_dispatcher_message(
                    region,
                    vm,
                    event::Event::AtDispatcher { event, region },
                );
            }
            balancing::GrantClientAction::UseOwnPicker { request_id } => {
                self.tally.fallbacks += 1;
                self.pick_locally(to_request(request_id));
            }
            balancing::GrantClientAction::UseServer {
                request_id,
                server_id,
            } => {
                let server = server_id.parse().expect("servers are named by their index");
                self.send(to_request(request_id), server);
            }
        }
    }

    /// Sends a message between a VM and its dispatcher. During an outage of the
    /// dispatchers, the message is lost.
    fn send_dispatcher_message(&mut self, region: usize, vm: usize, event: event::Event) {
        let lost = self.scenario.dispatcher_outage_s;
        let second = self.now_us / 1_000_000;
        if lost.is_some_and(|(from_s, to_s)| (from_s..to_s).contains(&second)) {
            return;
        }
        let delay_us = fleet::delay_us(self.vms[vm].zone, region * 2);
        self.push_in(delay_us, event);
    }

    fn grant_id(&self, request: usize) -> u64 {
        request as u64 * GRANTS_PER_REQUEST + u64::from(self.requests[request].failed_sends)
    }
}

fn to_request(grant_id: u64) -> usize {
    fleet::to_index(grant_id / GRANTS_PER_REQUEST)
}

fn to_client_event(action: balancing::DispatcherAction) -> (String, balancing::GrantClientEvent) {
    match action {
        balancing::DispatcherAction::Grant {
            request_id,
            server_id,
            to,
            ..
        } => {
            let event = balancing::GrantClientEvent::Granted {
                request_id,
                server_id,
            };
            (to, event)
        }
        balancing::DispatcherAction::Queued { request_id, to, .. } => {
            (to, balancing::GrantClientEvent::Queued { request_id })
        }
        balancing::DispatcherAction::Refuse {
            refusal,
            request_id,
            to,
            ..
        } => {
            let event = balancing::GrantClientEvent::Refused {
                refusal,
                request_id,
            };
            (to, event)
        }
    }
}
