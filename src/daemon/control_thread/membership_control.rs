//! Gossip membership over UDP on the peer address.

use std::net;
use std::sync;

use tokio::net::UdpSocket;

use crate::claims;
use crate::configs;
use crate::context;
use crate::daemon;
use crate::log_client;
use crate::membership;
use crate::state_machine::StateMachine as _;
use crate::telemetry;

/// Size of the receive buffer in bytes: the largest UDP payload over IPv4.
const MAX_DATAGRAM_BYTES: usize = 65_507;
/// Stream of random values that membership uses.
const RANDOM_STREAM: u64 = 0x6d65_6d62;

/// Runs the membership protocol and its UDP socket.
pub struct MembershipControl {
    counters: sync::Arc<telemetry::Counters>,
    membership: membership::Membership,
    socket: sync::Arc<UdpSocket>,
}

/// Update from membership for the control thread.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MembershipUpdate {
    /// The list of members changed.
    Changed,
    /// A peer has configuration records that this VM does not have.
    OffsetSeen {
        /// First offset that the peer does not have.
        next_offset: u64,
        /// Peer address of that VM.
        peer: net::SocketAddr,
    },
}

impl MembershipControl {
    /// Opens the socket and creates a membership that contains only this VM.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if the socket cannot be bound.
    pub async fn open(
        settings: &configs::DaemonConfig,
        context: &context::Context,
        identity: claims::VmIdentity,
        counters: sync::Arc<telemetry::Counters>,
    ) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(settings.peer_address).await?;
        let own = membership::Member {
            address: settings.peer_address,
            availability_zone: settings.availability_zone.clone(),
            caller_address: settings.caller_address,
            incarnation: identity.incarnation,
            region: settings.region.clone(),
            state: membership::MemberState::Alive,
            version: 0,
            vm_id: settings.vm_id.clone(),
        };
        let random = context.random(RANDOM_STREAM);
        Ok(Self {
            counters,
            membership: membership::Membership::new(settings.membership.clone(), own, random),
            socket: sync::Arc::new(socket),
        })
    }

    /// Starts a task that reads datagrams and sends their messages to the
    /// control thread.
    pub fn start_reading(&self, control: daemon::ControlSender) {
        let socket = sync::Arc::clone(&self.socket);
        let counters = sync::Arc::clone(&self.counters);
        tokio::spawn(async move {
            let mut datagram = vec![0; MAX_DATAGRAM_BYTES];
            loop {
                let Ok((length, from)) = socket.recv_from(&mut datagram).await else {
                    continue;
                };
                counters.add_many("membership.bytes-in", length as u64);
                let Ok(message) = postcard::from_bytes(&datagram[..length]) else {
                    counters.add("membership.message-invalid");
                    telemetry::Event::PeerMessageInvalid
                        .debug(|| format!("{from}: invalid membership datagram of {length} bytes"));
                    continue;
                };
                let event = daemon::ControlEvent::MembershipMessage { from, message };
                if control.send(event).await.is_err() {
                    return;
                }
            }
        });
    }

    /// Handles an event, sends the resulting messages and returns the updates
    /// for the control thread.
    pub fn handle(
        &mut self,
        now_ms: u64,
        event: membership::MembershipEvent,
    ) -> Vec<MembershipUpdate> {
        let actions = self.membership.handle(now_ms, event);
        actions
            .into_iter()
            .filter_map(|action| self.carry_out(action))
            .collect()
    }

    /// Handles the passage of time if a wake-up is due.
    pub fn tick(&mut self, now_ms: u64) -> Vec<MembershipUpdate> {
        let is_due = self
            .membership
            .next_wakeup_ms()
            .is_some_and(|due_ms| due_ms <= now_ms);
        if !is_due {
            return Vec::new();
        }
        self.handle(now_ms, membership::MembershipEvent::Tick)
    }

    /// Returns the other VMs that are neither dead nor leaving.
    pub fn live_peers(&self) -> impl Iterator<Item = &membership::Member> {
        self.membership.members().skip(1).filter(|member| {
            !matches!(
                member.state,
                membership::MemberState::Dead | membership::MemberState::Leaving
            )
        })
    }

    fn carry_out(&self, action: membership::MembershipAction) -> Option<MembershipUpdate> {
        match action {
            membership::MembershipAction::Changed => Some(MembershipUpdate::Changed),
            membership::MembershipAction::PeerOffsetSeen { next_offset, peer } => {
                Some(MembershipUpdate::OffsetSeen { next_offset, peer })
            }
            membership::MembershipAction::Send { message, to } => {
                self.send(&message, to);
                None
            }
        }
    }

    fn send(&self, message: &membership::Message, to: net::SocketAddr) {
        let Ok(datagram) = postcard::to_stdvec(message) else {
            return;
        };
        // A datagram that cannot be sent without blocking is treated as lost.
        match self.socket.try_send_to(&datagram, to) {
            Ok(length) => self
                .counters
                .add_many("membership.bytes-out", length as u64),
            Err(_) => self.counters.add("membership.send-failed"),
        }
    }
}

/// Converts the platform's VM list to the form that membership expects.
#[must_use]
pub fn listed_vms(vms: &[log_client::VmEntry]) -> Vec<membership::ListedVm> {
    vms.iter()
        .map(|vm| membership::ListedVm {
            address: vm.peer_address,
            leaving: vm.leaving,
            vm_id: vm.id.clone(),
        })
        .collect()
}
