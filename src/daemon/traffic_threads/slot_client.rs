//! Client of the dispatchers that grant slots of backend servers.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use tokio::sync::oneshot;

use crate::balancing;
use crate::configs;
use crate::context;
use crate::daemon;
use crate::peer;
use crate::state_machine::StateMachine as _;
use crate::telemetry;
use crate::verdict;

/// Timeout for returning a slot to its dispatcher.
const SLOT_RETURN_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Requests slots from the dispatchers of all services on behalf of this VM's
/// requests.
pub struct SlotClient {
    clock: sync::Arc<dyn context::Clock>,
    counters: sync::Arc<telemetry::Counters>,
    next_request_id: atomic::AtomicU64,
    own_address: net::SocketAddr,
    peers: peer::PeerClients,
    server: sync::Arc<daemon::SlotServer>,
    services: sync::Mutex<indexmap::IndexMap<String, ServiceSlots>>,
    settings: sync::Arc<configs::DaemonConfig>,
}

/// Result of a request for a slot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SlotDecision {
    /// This VM selects the server itself, because the dispatcher did not respond
    /// in time to this or a recent request, or because no slot was requested.
    OwnPicker,
    /// The request is refused.
    Refused(verdict::Refusal),
    /// The dispatcher granted a slot on this server.
    Server(String),
}

/// Request for a slot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SlotRequest<'a> {
    /// Time by which the response to the caller is due, on this process's clock
    /// in milliseconds.
    pub deadline_ms: u64,
    /// Peer address of the service's dispatcher.
    pub dispatcher: net::SocketAddr,
    /// Id of a server that must not be granted; `None` if any server may be.
    pub excluded_server_id: Option<String>,
    /// Expected run time of the request, in milliseconds.
    pub expected_run_ms: u64,
    /// Name of the service.
    pub service: &'a str,
}

/// Granted or requested slot. Dropping it returns the slot or cancels the
/// request for it.
pub struct SlotGuard {
    client: sync::Arc<SlotClient>,
    request_id: u64,
    service: String,
}

struct ServiceSlots {
    client: balancing::GrantClient,
    dispatcher: net::SocketAddr,
    decision_senders: indexmap::IndexMap<u64, oneshot::Sender<SlotDecision>>,
}

impl SlotClient {
    /// Creates a client without pending requests.
    #[must_use]
    pub fn new(
        settings: sync::Arc<configs::DaemonConfig>,
        context: &context::Context,
        peers: peer::PeerClients,
        server: sync::Arc<daemon::SlotServer>,
        counters: sync::Arc<telemetry::Counters>,
    ) -> Self {
        Self {
            clock: sync::Arc::clone(&context.clock),
            counters,
            next_request_id: atomic::AtomicU64::new(0),
            own_address: settings.peer_address,
            peers,
            server,
            services: sync::Mutex::default(),
            settings,
        }
    }

    /// Requests a slot and waits for the decision. The guard holds the slot or the
    /// pending request for it.
    pub async fn request_slot(
        self: &sync::Arc<Self>,
        request: SlotRequest<'_>,
    ) -> (SlotDecision, SlotGuard) {
        let request_id = self.next_request_id.fetch_add(1, atomic::Ordering::Relaxed);
        let (sender, decision) = oneshot::channel();
        self.start_waiting(request.service, request.dispatcher, request_id, sender);
        let slot_guard = SlotGuard {
            client: sync::Arc::clone(self),
            request_id,
            service: request.service.to_owned(),
        };
        let event = balancing::GrantClientEvent::GrantNeeded {
            deadline_ms: request.deadline_ms,
            excluded_server_id: request.excluded_server_id,
            expected_run_ms: request.expected_run_ms,
            request_id,
        };
        self.handle_event(request.service, event);
        let decision = decision.await.unwrap_or(SlotDecision::OwnPicker);
        (decision, slot_guard)
    }

    /// Handles a dispatcher's response.
    pub fn handle_response(
        self: &sync::Arc<Self>,
        service: &str,
        request_id: u64,
        response: peer::SlotResponse,
    ) {
        let event = match response {
            peer::SlotResponse::Granted { server_id } => balancing::GrantClientEvent::Granted {
                request_id,
                server_id,
            },
            peer::SlotResponse::Queued => balancing::GrantClientEvent::Queued { request_id },
            peer::SlotResponse::Refused(refusal) => balancing::GrantClientEvent::Refused {
                refusal,
                request_id,
            },
        };
        self.handle_event(service, event);
    }

    /// Handles the timeouts of pending requests.
    pub fn tick(self: &sync::Arc<Self>) {
        let now_ms = self.clock.now_ms();
        let due: Vec<String> = {
            let services = self.lock();
            let due = services.iter().filter(|(_, slots)| {
                slots
                    .client
                    .next_wakeup_ms()
                    .is_some_and(|due_ms| due_ms <= now_ms)
            });
            due.map(|(service, _)| service.clone()).collect()
        };
        for service in due {
            self.handle_event(&service, balancing::GrantClientEvent::Tick);
        }
    }

    fn start_waiting(
        &self,
        service: &str,
        dispatcher: net::SocketAddr,
        request_id: u64,
        sender: oneshot::Sender<SlotDecision>,
    ) {
        let mut services = self.lock();
        let slots = services
            .entry(service.to_owned())
            .or_insert_with(|| ServiceSlots {
                client: balancing::GrantClient::new(&self.settings.balancing),
                dispatcher,
                decision_senders: indexmap::IndexMap::new(),
            });
        slots.dispatcher = dispatcher;
        slots.decision_senders.insert(request_id, sender);
    }

    fn handle_event(self: &sync::Arc<Self>, service: &str, event: balancing::GrantClientEvent) {
        let now_ms = self.clock.now_ms();
        let (dispatcher, messages) = {
            let mut services = self.lock();
            let Some(slots) = services.get_mut(service) else {
                return;
            };
            let actions = slots.client.handle(now_ms, event);
            let messages: Vec<_> = actions
                .into_iter()
                .filter_map(|action| slots.deliver_decision(action, &self.counters))
                .collect();
            (slots.dispatcher, messages)
        };
        for message in messages {
            self.send(service, dispatcher, message);
        }
    }

    fn send(
        self: &sync::Arc<Self>,
        service: &str,
        dispatcher: net::SocketAddr,
        message: balancing::GrantClientAction,
    ) {
        match message {
            balancing::GrantClientAction::SendGrantRequest {
                deadline_ms,
                excluded_server_id,
                expected_run_ms,
                request_id,
            } => {
                let request = peer::SlotRequest {
                    excluded_server_id,
                    expected_run_ms,
                    time_left_ms: deadline_ms.saturating_sub(self.clock.now_ms()),
                    request_id,
                };
                self.send_slot_request(service, dispatcher, request);
            }
            balancing::GrantClientAction::SendGrantReturn { request_id } => {
                self.send_slot_return(service, dispatcher, request_id);
            }
            _ => {}
        }
    }

    fn send_slot_request(
        self: &sync::Arc<Self>,
        service: &str,
        dispatcher: net::SocketAddr,
        request: peer::SlotRequest,
    ) {
        let own_address = self.own_address;
        let request_id = request.request_id;
        if dispatcher == own_address {
            if let Some(response) = self.server.request_slot(service, own_address, &request) {
                self.handle_response(service, request_id, response);
            }
            return;
        }
        let client = sync::Arc::clone(self);
        let service = service.to_owned();
        let timeout = time::Duration::from_millis(self.settings.balancing.grant_timeout_ms);
        tokio::spawn(async move {
            let requested_service = service.clone();
            let response = client
                .peers
                .call(dispatcher, timeout, async |peer, context| {
                    peer.ask_slot(context, requested_service, own_address, request)
                        .await
                })
                .await;
            // Without a response, the timeout is handled by the next tick: this
            // VM then selects the server itself.
            if let Ok(Some(response)) = response {
                client.handle_response(&service, request_id, response);
            }
        });
    }

    fn send_slot_return(&self, service: &str, dispatcher: net::SocketAddr, request_id: u64) {
        let own_address = self.own_address;
        if dispatcher == own_address {
            self.server.return_slot(service, own_address, request_id);
            return;
        }
        let peers = self.peers.clone();
        let service = service.to_owned();
        tokio::spawn(async move {
            // If the call fails, the dispatcher frees the slot after the
            // request's deadline.
            let _ = peers
                .call(dispatcher, SLOT_RETURN_TIMEOUT, async |peer, context| {
                    peer.return_slot(context, service, own_address, request_id)
                        .await
                })
                .await;
        });
    }

    fn lock(&self) -> sync::MutexGuard<'_, indexmap::IndexMap<String, ServiceSlots>> {
        self.services
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl ServiceSlots {
    /// Sends a decision to the request that waits for it. Returns any other
    /// action, for which a message to the dispatcher is due.
    fn deliver_decision(
        &mut self,
        action: balancing::GrantClientAction,
        counters: &telemetry::Counters,
    ) -> Option<balancing::GrantClientAction> {
        let (request_id, decision) = match action {
            balancing::GrantClientAction::Refuse {
                refusal,
                request_id,
            } => (request_id, SlotDecision::Refused(refusal)),
            balancing::GrantClientAction::UseOwnPicker { request_id } => {
                counters.add("slot.own-picker");
                (request_id, SlotDecision::OwnPicker)
            }
            balancing::GrantClientAction::UseServer {
                request_id,
                server_id,
            } => (request_id, SlotDecision::Server(server_id)),
            message => return Some(message),
        };
        if let Some(sender) = self.decision_senders.swap_remove(&request_id) {
            let _ = sender.send(decision);
        }
        None
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let request_id = self.request_id;
        if let Some(slots) = self.client.lock().get_mut(&self.service) {
            slots.decision_senders.swap_remove(&request_id);
        }
        let event = balancing::GrantClientEvent::Finish { request_id };
        self.client.handle_event(&self.service, event);
    }
}
