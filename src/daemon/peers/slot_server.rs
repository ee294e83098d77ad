//! Dispatchers that grant slots to the entry VMs that request them from this
//! VM.

use std::net;
use std::sync;
use std::time;

use crate::balancing;
use crate::configs;
use crate::context;
use crate::peer;
use crate::state_machine::StateMachine as _;

/// Time limit of a call that delivers a response to an entry VM.
const DELIVERY_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Dispatchers that run on this VM, one for each service that it dispatches.
///
/// Their state is not persistent. The loss of a dispatcher only increases the
/// load.
pub struct SlotServer {
    clock: sync::Arc<dyn context::Clock>,
    peers: peer::PeerClients,
    seed: u64,
    settings: sync::Arc<configs::DaemonConfig>,
    state: sync::Mutex<State>,
}

#[derive(Default)]
struct State {
    dispatchers: indexmap::IndexMap<String, balancing::Dispatcher>,
    last_message_id: u64,
}

impl SlotServer {
    /// Creates a slot server without dispatchers.
    #[must_use]
    pub fn new(
        settings: sync::Arc<configs::DaemonConfig>,
        context: &context::Context,
        peers: peer::PeerClients,
    ) -> Self {
        Self {
            clock: sync::Arc::clone(&context.clock),
            peers,
            seed: context.seed,
            settings,
            state: sync::Mutex::default(),
        }
    }

    /// Replaces the servers of a service that this VM dispatches.
    pub fn change_servers(&self, service: &str, servers: Vec<balancing::DispatcherServer>) {
        let event = balancing::DispatcherEvent::ServersChanged { servers };
        let settings = &self.settings;
        let mut state = self.lock();
        let dispatcher = state
            .dispatchers
            .entry(service.to_owned())
            .or_insert_with(|| {
                balancing::Dispatcher::new(&settings.balancing, &settings.admission, self.seed)
            });
        let actions = dispatcher.handle(self.clock.now_ms(), event);
        drop(state);
        self.send_responses(service, actions);
    }

    /// Removes the dispatchers of all services for which `is_retained` returns
    /// `false`.
    pub fn retain_services(&self, is_retained: impl Fn(&str) -> bool) {
        let mut state = self.lock();
        state.dispatchers.retain(|service, _| is_retained(service));
    }

    /// Handles an entry VM's request for a slot and returns the dispatcher's first
    /// response. Returns `None` if this VM has no dispatcher for the service.
    pub fn request_slot(
        &self,
        service: &str,
        from: net::SocketAddr,
        request: &peer::SlotRequest,
    ) -> Option<peer::SlotResponse> {
        let now_ms = self.clock.now_ms();
        let mut state = self.lock();
        state.last_message_id += 1;
        let message_id = state.last_message_id;
        let event = balancing::DispatcherEvent::GrantRequested {
            deadline_ms: now_ms.saturating_add(request.time_left_ms),
            excluded_server_id: request.excluded_server_id.clone(),
            expected_run_ms: request.expected_run_ms,
            from: from.to_string(),
            message_id,
            request_id: request.request_id,
        };
        let dispatcher = state.dispatchers.get_mut(service)?;
        let mut actions = dispatcher.handle(now_ms, event);
        drop(state);
        let own_index = actions.iter().position(|action| {
            addressed_response(action).is_some_and(|response| response.message_id == message_id)
        });
        let own_action = own_index.map(|index| actions.remove(index));
        self.send_responses(service, actions);
        Some(addressed_response(&own_action?)?.response)
    }

    /// Returns a slot to its dispatcher.
    pub fn return_slot(&self, service: &str, from: net::SocketAddr, request_id: u64) {
        let event = balancing::DispatcherEvent::GrantReturned {
            from: from.to_string(),
            request_id,
        };
        self.feed(service, event);
    }

    /// Handles the passage of time in the dispatchers that are due.
    pub fn tick(&self) {
        let now_ms = self.clock.now_ms();
        let due: Vec<String> = {
            let state = self.lock();
            let due = state.dispatchers.iter().filter(|(_, dispatcher)| {
                dispatcher
                    .next_wakeup_ms()
                    .is_some_and(|due_ms| due_ms <= now_ms)
            });
            due.map(|(service, _)| service.clone()).collect()
        };
        for service in due {
            self.feed(&service, balancing::DispatcherEvent::Tick);
        }
    }

    fn feed(&self, service: &str, event: balancing::DispatcherEvent) {
        let now_ms = self.clock.now_ms();
        let actions = self
            .lock()
            .dispatchers
            .get_mut(service)
            .map(|dispatcher| dispatcher.handle(now_ms, event));
        self.send_responses(service, actions.unwrap_or_default());
    }

    /// Sends the responses to requests whose calls have already returned.
    fn send_responses(&self, service: &str, actions: Vec<balancing::DispatcherAction>) {
        for action in actions {
            let Some(response) = addressed_response(&action) else {
                continue;
            };
            let peers = self.peers.clone();
            let service = service.to_owned();
            tokio::spawn(async move {
                // An entry VM that receives no response sends its request again.
                let _ = peers
                    .call(response.to, DELIVERY_TIMEOUT, async |client, context| {
                        let request_id = response.request_id;
                        client
                            .note_slot(context, service, request_id, response.response)
                            .await
                    })
                    .await;
            });
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Response to a slot request, with its recipient.
struct AddressedResponse {
    response: peer::SlotResponse,
    message_id: u64,
    request_id: u64,
    to: net::SocketAddr,
}

/// Converts an action to a response. Returns `None` if the recipient's
/// identifier is not an address.
fn addressed_response(action: &balancing::DispatcherAction) -> Option<AddressedResponse> {
    let (response, message_id, request_id, to) = match action {
        balancing::DispatcherAction::Grant {
            message_id,
            request_id,
            server_id,
            to,
            ..
        } => {
            let server_id = server_id.clone();
            let response = peer::SlotResponse::Granted { server_id };
            (response, message_id, request_id, to)
        }
        balancing::DispatcherAction::Queued {
            message_id,
            request_id,
            to,
        } => (peer::SlotResponse::Queued, message_id, request_id, to),
        balancing::DispatcherAction::Refuse {
            message_id,
            refusal,
            request_id,
            to,
        } => {
            let response = peer::SlotResponse::Refused(*refusal);
            (response, message_id, request_id, to)
        }
    };
    Some(AddressedResponse {
        response,
        message_id: *message_id,
        request_id: *request_id,
        to: to.parse().ok()?,
    })
}
