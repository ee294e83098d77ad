//! The other entry VMs: which are up, which follow the store, which carry
//! requests.

use std::net;
use std::sync;

use rand::seq::IndexedRandom as _;

use crate::balancing;
use crate::gateway;
use crate::gateway::control_thread::outgoing;
use crate::gateway::entry_points;
use crate::membership;
use crate::state_machine::StateMachine as _;

/// Time for which a VM that cannot read the store is passed over as a reader,
/// in milliseconds: it tells again with each failed read.
const FAILING_MEMORY_MS: u64 = 3_000;
/// VMs that are told when this one cannot read the store.
const NEXT_READERS_COUNT: usize = 8;

/// The other entry VMs, as membership sees them.
pub struct Members {
    /// VMs that said that they cannot read the store, and until when that holds.
    failing_until_ms: indexmap::IndexMap<net::SocketAddr, u64>,
    membership: membership::Membership,
    outgoing: sync::Arc<outgoing::Outgoing>,
    peers: Vec<membership::Member>,
    shared: sync::Arc<gateway::Shared>,
}

impl Members {
    /// Knows this VM only.
    pub fn new(
        shared: sync::Arc<gateway::Shared>,
        outgoing: sync::Arc<outgoing::Outgoing>,
        membership: membership::Membership,
    ) -> Self {
        Self {
            failing_until_ms: indexmap::IndexMap::new(),
            membership,
            outgoing,
            peers: Vec::new(),
            shared,
        }
    }

    /// Gives the VMs that are taken to be up, suspects included.
    pub fn peers(&self) -> &[membership::Member] {
        &self.peers
    }

    /// Feeds membership. Gives whether the members have changed.
    pub fn handle(&mut self, event: membership::MembershipEvent) -> bool {
        let now_ms = self.shared.now_ms();
        let mut is_changed = false;
        for action in self.membership.handle(now_ms, event) {
            match action {
                membership::MembershipAction::Changed => {
                    self.take_members();
                    is_changed = true;
                }
                membership::MembershipAction::PeerOffsetSeen { .. } => {}
                membership::MembershipAction::Send { message, to } => {
                    let message = gateway::FleetMessage::Membership(message);
                    self.outgoing.send(&message, to);
                }
            }
        }
        is_changed
    }

    /// Lets membership act on the time that has passed, if it is due.
    pub fn tick(&mut self, now_ms: u64) -> bool {
        let due_ms = self.membership.next_wakeup_ms();
        due_ms.is_some_and(|due_ms| due_ms <= now_ms)
            && self.handle(membership::MembershipEvent::Tick)
    }

    /// Has membership try VMs at these addresses.
    pub fn introduce(&mut self, addresses: &[net::SocketAddr]) -> bool {
        let own = self.shared.identity.peer_address;
        let others = addresses.iter().filter(|address| **address != own);
        let seen = others.map(|address| membership::VmSeen {
            address: *address,
            leaving: false,
            vm_id: address.to_string(),
        });
        self.handle(membership::MembershipEvent::VmList(seen.collect()))
    }

    /// Notes whether a VM can read the store.
    pub fn note_reader(&mut self, now_ms: u64, vm: net::SocketAddr, fails: bool) {
        if fails {
            self.failing_until_ms.insert(vm, now_ms + FAILING_MEMORY_MS);
        } else {
            self.failing_until_ms.swap_remove(&vm);
        }
    }

    /// Tells whether this VM is among the first of its region by rank that
    /// reach the store, as far as is known.
    pub fn is_reader(&self, now_ms: u64) -> bool {
        let identity = &self.shared.identity;
        let own = reader_rank(identity.peer_address);
        let ahead = self.peers.iter().filter(|peer| {
            let fails = self.failing_until_ms.get(&peer.address);
            peer.region == identity.region
                && peer.state == membership::MemberState::Alive
                && fails.is_none_or(|until_ms| *until_ms <= now_ms)
                && reader_rank(peer.address) > own
        });
        ahead.count() < self.shared.config.store_readers_per_region
    }

    /// Tells whether a VM is of this VM's region, as far as is known.
    pub fn is_near(&self, vm: net::SocketAddr) -> bool {
        let region = &self.shared.identity.region;
        let peer = self.peers.iter().find(|peer| peer.address == vm);
        peer.is_none_or(|peer| peer.region == *region)
    }

    /// Gives the VMs that would read the store if this one did not.
    pub fn next_readers(&self) -> Vec<net::SocketAddr> {
        let region = &self.shared.identity.region;
        let near = self.peers.iter().filter(|peer| peer.region == *region);
        let mut ranked: Vec<net::SocketAddr> = near.map(|peer| peer.address).collect();
        ranked.sort_by_cached_key(|address| u64::MAX - reader_rank(*address));
        ranked.truncate(NEXT_READERS_COUNT);
        ranked
    }

    /// Gives `count` other VMs at random, of this region or of any.
    pub fn random(&self, count: usize, is_near: bool) -> Vec<net::SocketAddr> {
        let region = &self.shared.identity.region;
        let candidates: Vec<net::SocketAddr> = self
            .peers
            .iter()
            .filter(|peer| !is_near || peer.region == *region)
            .map(|peer| peer.address)
            .collect();
        let drawn = candidates.choose_multiple(&mut rand::rng(), count);
        drawn.copied().collect()
    }

    /// Gives the VMs that may be named to callers, this one included unless it
    /// leaves.
    pub fn entry_vms(&self) -> Vec<gateway::EntryVm> {
        let identity = &self.shared.identity;
        let own = gateway::EntryVm {
            availability_zone: identity.availability_zone.clone(),
            caller_address: identity.caller_address,
            region: identity.region.clone(),
        };
        let own = (!self.shared.is_leaving()).then_some(own);
        let alive = self.peers.iter();
        let alive = alive.filter(|peer| peer.state == membership::MemberState::Alive);
        let others = alive.map(|peer| gateway::EntryVm {
            availability_zone: peer.availability_zone.clone(),
            caller_address: peer.caller_address,
            region: peer.region.clone(),
        });
        own.into_iter().chain(others).collect()
    }

    /// Gives this VM's share of the retry slack, in thousandths of a retry. The
    /// VMs that callers are told of share it; any other VM gets few requests
    /// and no slack.
    pub fn retry_slack_milli(&self, vms: &[gateway::EntryVm]) -> u64 {
        let chosen = self.carriers(vms, None);
        if !chosen.contains(&self.shared.identity.caller_address) {
            return 0;
        }
        self.shared.retry_slack_milli() / chosen.len().max(1) as u64
    }

    /// Gives the peer addresses of the VMs that carry this region's requests.
    pub fn near_carriers(&self) -> Vec<net::SocketAddr> {
        let vms = self.entry_vms();
        let carriers = self.carriers(&vms, Some(&self.shared.identity.region));
        let peers = self.peers.iter();
        let carrying = peers.filter(|peer| carriers.contains(&peer.caller_address));
        carrying.map(|peer| peer.address).collect()
    }

    /// Gives the addresses that callers are told of, of all zones of a region
    /// or of all regions.
    fn carriers(
        &self,
        vms: &[gateway::EntryVm],
        region: Option<&str>,
    ) -> indexmap::IndexSet<net::SocketAddr> {
        let zones: indexmap::IndexSet<(&str, &str)> = vms
            .iter()
            .filter(|vm| region.is_none_or(|region| vm.region == region))
            .map(|vm| (vm.availability_zone.as_str(), vm.region.as_str()))
            .collect();
        let config = &self.shared.config;
        let chosen = zones
            .iter()
            .flat_map(|(zone, region)| entry_points::choose(config, vms, zone, region));
        chosen.map(|vm| vm.caller_address).collect()
    }

    fn take_members(&mut self) {
        let others = self.membership.members().skip(1);
        let up = others.filter(|member| {
            !matches!(
                member.state,
                membership::MemberState::Dead | membership::MemberState::Leaving
            )
        });
        self.peers = up.cloned().collect();
        let suspects = self.peers.iter();
        let suspects = suspects.filter(|peer| peer.state == membership::MemberState::Suspect);
        let suspects = suspects.count();
        self.shared.decision_log.record("membership.changed", || {
            format!("vms={} suspects={suspects}", self.peers.len() + 1)
        });
    }
}

/// Gives the rank by which VMs read the store; the highest reads first.
fn reader_rank(peer: net::SocketAddr) -> u64 {
    balancing::rendezvous::rank("store", &peer.to_string())
}
