//! Discovery of entry VMs through the store's list, used while no seed responds.

use std::sync;

use tokio::sync::mpsc;

use crate::gateway;
use crate::gateway::control_thread::control_event;
use crate::gateway::control_thread::store_reads;

/// Time after the start before the first call to the store, in milliseconds.
/// Seeds usually respond much sooner.
const DISCOVERY_DELAY_MS: u64 = 1_500;
/// Time between the starts of two calls, in milliseconds.
const LIST_INTERVAL_MS: u64 = 5_000;

/// Discovery of entry VMs through the store's list.
///
/// The list is read while no peer is known. This VM adds itself to the list with
/// its first call, at the latest when it becomes a reader of the store.
pub struct VmDiscovery {
    events: mpsc::Sender<control_event::ControlEvent>,
    is_announced: bool,
    is_call_in_flight: bool,
    next_call_ms: u64,
    ports: gateway::GatewayPorts,
    shared: sync::Arc<gateway::Shared>,
}

impl VmDiscovery {
    /// Creates a discovery that has made no call.
    pub const fn new(
        shared: sync::Arc<gateway::Shared>,
        ports: gateway::GatewayPorts,
        events: mpsc::Sender<control_event::ControlEvent>,
    ) -> Self {
        Self {
            events,
            is_announced: false,
            is_call_in_flight: false,
            next_call_ms: DISCOVERY_DELAY_MS,
            ports,
            shared,
        }
    }

    /// Starts a call to the store if one is due.
    ///
    /// The result arrives as [`control_event::ControlEvent::VmsListed`].
    pub fn tick(&mut self, now_ms: u64, has_no_peers: bool, is_reader: bool) {
        let is_call_needed = has_no_peers || (is_reader && !self.is_announced);
        if !is_call_needed || self.is_call_in_flight || now_ms < self.next_call_ms {
            return;
        }
        self.is_call_in_flight = true;
        self.next_call_ms = now_ms + LIST_INTERVAL_MS;
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

    /// Makes this VM add itself to the list again if it is a reader or has no peers. Its
    /// record may be lost after the store has returned from an older copy.
    pub const fn announce_again(&mut self) {
        self.is_announced = false;
    }

    /// Records that the call ended, and whether the store responded.
    pub const fn finish_call(&mut self, has_responded: bool) {
        self.is_call_in_flight = false;
        self.is_announced |= has_responded;
    }
}
