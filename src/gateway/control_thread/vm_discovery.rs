//! The store's list of VMs, a last resort to find others.

use std::sync;

use tokio::sync::mpsc;

use crate::gateway;
use crate::gateway::control_thread::control_event;
use crate::gateway::control_thread::store_reads;

/// Time after the start without any peer after which the store is asked, in
/// milliseconds: seeds answer much sooner.
const DISCOVERY_DELAY_MS: u64 = 1_500;
/// Time between two questions to the store, in milliseconds.
const LIST_INTERVAL_MS: u64 = 5_000;

/// Asks the store for other VMs while none is known, and lists this VM there
/// once it reads the store for others.
pub struct VmDiscovery {
    events: mpsc::Sender<control_event::ControlEvent>,
    is_announced: bool,
    is_call_in_flight: bool,
    next_ms: u64,
    ports: gateway::GatewayPorts,
    shared: sync::Arc<gateway::Shared>,
}

impl VmDiscovery {
    /// Has asked nothing yet.
    pub const fn new(
        shared: sync::Arc<gateway::Shared>,
        ports: gateway::GatewayPorts,
        events: mpsc::Sender<control_event::ControlEvent>,
    ) -> Self {
        Self {
            events,
            is_announced: false,
            is_call_in_flight: false,
            next_ms: DISCOVERY_DELAY_MS,
            ports,
            shared,
        }
    }

    /// Asks the store if it is due.
    pub fn tick(&mut self, now_ms: u64, has_no_peers: bool, is_reader: bool) {
        let has_reason = has_no_peers || (is_reader && !self.is_announced);
        if !has_reason || self.is_call_in_flight || now_ms < self.next_ms {
            return;
        }
        self.is_call_in_flight = true;
        self.next_ms = now_ms + LIST_INTERVAL_MS;
        let vms = sync::Arc::clone(&self.ports.vms);
        let own = self.shared.identity.peer_address;
        let must_announce = !self.is_announced;
        let timeout = self.shared.config.store_call_timeout();
        let events = self.events.clone();
        tokio::spawn(async move {
            let call = async {
                if must_announce {
                    vms.announce(own).await?;
                }
                if has_no_peers {
                    vms.list().await
                } else {
                    Ok(Vec::new())
                }
            };
            let listed = store_reads::with_timeout(timeout, call).await;
            let _ = events
                .send(control_event::ControlEvent::VmsListed(listed))
                .await;
        });
    }

    /// Notes that the store has answered, or not.
    pub const fn finish_call(&mut self, is_answered: bool) {
        self.is_call_in_flight = false;
        self.is_announced |= is_answered;
    }
}
