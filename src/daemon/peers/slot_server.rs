//! The dispatchers that hand out slots to the entry VMs that ask this one.

use std::net;
use std::sync;
use std::time;

use crate::balancing;
use crate::configs;
use crate::context;
use crate::peer;
use crate::state_machine::StateMachine as _;

/// Longest wait for an entry VM to take an answer.
const PUSH_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// The dispatchers of this VM, one per service that others ask it about.
///
/// Their state is soft: a lost dispatcher costs only load.
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
    /// Gives a VM without dispatchers.
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

    /// Takes over the servers of a service that this VM dispatches.
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
        self.push(service, actions);
    }

    /// Drops the dispatchers of all services but these.
    pub fn keep(&self, is_kept: impl Fn(&str) -> bool) {
        let mut state = self.lock();
        state.dispatchers.retain(|service, _| is_kept(service));
    }

    /// Answers an entry VM; nothing when this VM has no dispatcher for the
    /// service.
    pub fn ask(
        &self,
        service: &str,
        from: net::SocketAddr,
        ask: &peer::SlotRequest,
    ) -> Option<peer::SlotResponse> {
        let now_ms = self.clock.now_ms();
        let mut state = self.lock();
        state.last_message_id += 1;
        let message_id = state.last_message_id;
        let event = balancing::DispatcherEvent::GrantRequested {
            deadline_ms: now_ms.saturating_add(ask.left_ms),
            excluded_server_id: ask.excluded_server_id.clone(),
            expected_run_ms: ask.expected_ms,
            from: from.to_string(),
            message_id,
            request_id: ask.request_id,
        };
        let dispatcher = state.dispatchers.get_mut(service)?;
        let mut actions = dispatcher.handle(now_ms, event);
        drop(state);
        let own = actions.iter().position(|action| {
            to_answer(action).is_some_and(|answer| answer.message_id == message_id)
        });
        let own = own.map(|index| actions.remove(index));
        self.push(service, actions);
        Some(to_answer(&own?)?.answer)
    }

    /// Takes a slot back.
    pub fn give_back(&self, service: &str, from: net::SocketAddr, request_id: u64) {
        let event = balancing::DispatcherEvent::GrantReturned {
            from: from.to_string(),
            request_id,
        };
        self.feed(service, event);
    }

    /// Lets the dispatchers act on the time that has passed.
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
        self.push(service, actions.unwrap_or_default());
    }

    /// Sends answers that no call is waiting for.
    fn push(&self, service: &str, actions: Vec<balancing::DispatcherAction>) {
        for action in actions {
            let Some(answer) = to_answer(&action) else {
                continue;
            };
            let peers = self.peers.clone();
            let service = service.to_owned();
            tokio::spawn(async move {
                // An entry VM that gets no answer asks again.
                let _ = peers
                    .call(answer.to, PUSH_TIMEOUT, async |client, context| {
                        let request_id = answer.request_id;
                        client
                            .note_slot(context, service, request_id, answer.answer)
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

/// An answer with its address.
struct AddressedAnswer {
    answer: peer::SlotResponse,
    message_id: u64,
    request_id: u64,
    to: net::SocketAddr,
}

/// Gives nothing for an entry VM whose name is not an address.
fn to_answer(action: &balancing::DispatcherAction) -> Option<AddressedAnswer> {
    let (answer, message_id, request_id, to) = match action {
        balancing::DispatcherAction::Grant {
            message_id,
            request_id,
            server_id,
            to,
            ..
        } => {
            let server_id = server_id.clone();
            let answer = peer::SlotResponse::Granted { server_id };
            (answer, message_id, request_id, to)
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
            let answer = peer::SlotResponse::Refused(*refusal);
            (answer, message_id, request_id, to)
        }
    };
    Some(AddressedAnswer {
        answer,
        message_id: *message_id,
        request_id: *request_id,
        to: to.parse().ok()?,
    })
}
