//! The other entry VMs: which of them are alive, read the store, and are
//! advertised to callers.

use std::net;
use std::sync;

use rand::seq::IndexedRandom as _;
use rand::seq::IteratorRandom as _;

use crate::balancing;
use crate::gateway;
use crate::gateway::control_thread::datagram_socket;
use crate::gateway::entry_points;
use crate::membership;
use crate::state_machine::StateMachine as _;

/// Time for which a VM that cannot read the store is not counted as a reader,
/// in milliseconds. The VM repeats its report with each failed read.
const FAILURE_RETENTION_MS: u64 = 3_000;
/// Number of VMs notified when this VM cannot read the store.
const STANDBY_READER_COUNT: usize = 8;
/// Number of peers that a VM without any state asks for it at the same time.
const STATE_SOURCE_COUNT: usize = 2;
/// Maximum number of VMs to which the resources are announced at each tick. The queue
/// for datagrams holds 1,024.
const MAX_ANNOUNCEMENTS: usize = 256;
/// Number of VMs that are not known as members and whose resources are kept. The
/// resources of a VM may arrive before its membership.
const MAX_RESOURCES_OF_NON_MEMBERS: usize = 64;

/// View of the other entry VMs, based on the membership protocol.
pub struct Members {
    /// Peers to which this VM has announced its resources since they joined or
    /// returned.
    announced_to: indexmap::IndexSet<net::SocketAddr>,
    /// VMs that reported that they cannot read the store, each with the time in
    /// milliseconds at which the report expires.
    failing_until_ms: indexmap::IndexMap<net::SocketAddr, u64>,
    /// Whether the configuration in force has a route with large responses.
    has_downloads: bool,
    /// Whether resources became known since the last tick.
    has_new_resources: bool,
    membership: membership::Membership,
    datagrams: sync::Arc<datagram_socket::DatagramSocket>,
    peers: Vec<membership::Member>,
    /// Resources of the other VMs as far as known, by peer address.
    resources: indexmap::IndexMap<net::SocketAddr, gateway::VmResources>,
    shared: sync::Arc<gateway::Shared>,
}

impl Members {
    /// Creates a view that has no peers yet.
    pub fn new(
        shared: sync::Arc<gateway::Shared>,
        datagrams: sync::Arc<datagram_socket::DatagramSocket>,
        membership: membership::Membership,
    ) -> Self {
        Self {
            announced_to: indexmap::IndexSet::new(),
            failing_until_ms: indexmap::IndexMap::new(),
            has_downloads: false,
            has_new_resources: false,
            membership,
            datagrams,
            peers: Vec::new(),
            resources: indexmap::IndexMap::new(),
            shared,
        }
    }

    /// Returns the VMs that are neither dead nor leaving; suspects are included.
    pub fn peers(&self) -> &[membership::Member] {
        &self.peers
    }

    /// Passes an event to the membership protocol and carries out its actions.
    /// Returns `true` if the members have changed.
    pub fn handle(&mut self, event: membership::MembershipEvent) -> bool {
        let now_ms = self.shared.now_ms();
        let mut is_changed = false;
        for action in self.membership.handle(now_ms, event) {
            match action {
                membership::MembershipAction::Changed => {
                    self.update_peers();
                    is_changed = true;
                }
                membership::MembershipAction::PeerOffsetSeen { .. } => {}
                membership::MembershipAction::Send { message, to } => {
                    let message = gateway::FleetMessage::Membership(message);
                    self.datagrams.send(&message, to);
                }
            }
        }
        is_changed
    }

    /// Runs the membership protocol's timers that are due, and announces this VM's
    /// resources to new peers. Returns `true` if the members or their resources have
    /// changed.
    pub fn tick(&mut self, now_ms: u64) -> bool {
        let due_ms = self.membership.next_wakeup_ms();
        let has_changed = due_ms.is_some_and(|due_ms| due_ms <= now_ms)
            && self.handle(membership::MembershipEvent::Tick);
        self.announce_resources();
        std::mem::take(&mut self.has_new_resources) || has_changed
    }

    /// Sets whether the configuration in force has a route with large responses.
    /// Resources are exchanged and entry points chosen by size only where it has.
    pub const fn set_has_downloads(&mut self, has_downloads: bool) {
        self.has_downloads = has_downloads;
    }

    /// Records the resources of another VM, and replies with this VM's if the other VM
    /// wants them.
    ///
    /// The change takes effect at the next tick: after the start of a large fleet,
    /// thousands of announcements arrive within a second.
    pub fn record_resources(
        &mut self,
        from: net::SocketAddr,
        resources: gateway::VmResources,
        wants_reply: bool,
    ) {
        let max_count = self.membership.members().count() + MAX_RESOURCES_OF_NON_MEMBERS;
        if self.resources.contains_key(&from) || self.resources.len() < max_count {
            let before = self.resources.insert(from, resources);
            self.has_new_resources |= before != Some(resources);
        }
        if wants_reply {
            self.send_resources(from);
        }
    }

    /// Announces this VM's resources to one random peer, preferably one whose own
    /// resources are unknown. Earlier datagrams may have been lost.
    pub fn repeat_resources(&self) {
        if !self.has_downloads {
            return;
        }
        let addresses = self.peers.iter().map(|peer| peer.address);
        let unknown = addresses.filter(|address| !self.resources.contains_key(address));
        let unknown = unknown.choose(&mut rand::rng());
        let receiver = unknown.or_else(|| self.random_peers(1, false).first().copied());
        if let Some(receiver) = receiver {
            self.send_resources(receiver);
        }
    }

    fn announce_resources(&mut self) {
        if !self.has_downloads {
            return;
        }
        let addresses = self.peers.iter().map(|peer| peer.address);
        let new = addresses.filter(|address| !self.announced_to.contains(address));
        let new: Vec<net::SocketAddr> = new.take(MAX_ANNOUNCEMENTS).collect();
        for address in new {
            self.send_resources(address);
            self.announced_to.insert(address);
        }
    }

    fn send_resources(&self, to: net::SocketAddr) {
        let message = gateway::FleetMessage::Resources {
            resources: self.shared.identity.resources,
            wants_reply: !self.resources.contains_key(&to),
        };
        self.datagrams.send(&message, to);
    }

    /// Passes addresses of possible entry VMs to the membership protocol, which
    /// contacts them. Returns `true` if the members have changed.
    pub fn add_addresses(&mut self, addresses: &[net::SocketAddr]) -> bool {
        let own = self.shared.identity.peer_address;
        let others = addresses.iter().filter(|address| **address != own);
        let listed = others.map(|address| membership::ListedVm {
            address: *address,
            leaving: false,
            vm_id: address.to_string(),
        });
        self.handle(membership::MembershipEvent::VmList(listed.collect()))
    }

    /// Records whether another VM reported that its reads of the store fail.
    pub fn record_store_access(&mut self, now_ms: u64, vm: net::SocketAddr, has_failed: bool) {
        if has_failed {
            self.failing_until_ms
                .insert(vm, now_ms + FAILURE_RETENTION_MS);
        } else {
            self.failing_until_ms.swap_remove(&vm);
        }
    }

    /// Returns the part of this VM in the reads of the store.
    ///
    /// The readers are the highest-ranked VMs of the region, without those that
    /// have reported failed reads.
    pub fn reader_role(&self, now_ms: u64) -> gateway::ReaderRole {
        let identity = &self.shared.identity;
        let own = reader_rank(identity.peer_address);
        let preferred = self.peers.iter().filter(|peer| {
            peer.region == identity.region
                && peer.state == membership::MemberState::Alive
                && reader_rank(peer.address) > own
        });
        let (mut preferred_count, mut readable_count) = (0, 0);
        for peer in preferred {
            let failing_until_ms = self.failing_until_ms.get(&peer.address);
            let can_read = failing_until_ms.is_none_or(|until_ms| *until_ms <= now_ms);
            preferred_count += 1;
            readable_count += u64::from(can_read);
        }
        let reader_count = self.shared.config.store_readers_per_region as u64;
        gateway::ReaderRole {
            is_reader: gateway::ReaderRole::is_reader_by_rank(now_ms, readable_count, reader_count),
            is_seed: identity.seeds.contains(&identity.peer_address),
            preferred_count,
        }
    }

    /// Returns whether a VM is known to be in this VM's region.
    pub fn is_in_own_region(&self, vm: net::SocketAddr) -> bool {
        let region = &self.shared.identity.region;
        let peer = self.peers.iter().find(|peer| peer.address == vm);
        peer.is_some_and(|peer| peer.region == *region)
    }

    /// Returns the VMs that a VM without any state asks for it: random peers of its
    /// region, and a random seed while it knows few of them.
    pub fn state_sources(&self) -> Vec<net::SocketAddr> {
        let mut sources = self.random_peers(STATE_SOURCE_COUNT, true);
        if sources.len() < STATE_SOURCE_COUNT {
            let identity = &self.shared.identity;
            let seeds = identity.seeds.iter();
            let seeds = seeds.filter(|seed| **seed != identity.peer_address);
            sources.extend(seeds.choose(&mut rand::rng()));
        }
        sources
    }

    /// Returns the highest-ranked other VMs of the region, which read the store
    /// if this VM cannot.
    pub fn standby_readers(&self) -> Vec<net::SocketAddr> {
        let region = &self.shared.identity.region;
        let in_region = self.peers.iter().filter(|peer| peer.region == *region);
        let mut ranked: Vec<net::SocketAddr> = in_region.map(|peer| peer.address).collect();
        ranked.sort_by_cached_key(|address| u64::MAX - reader_rank(*address));
        ranked.truncate(STANDBY_READER_COUNT);
        ranked
    }

    /// Returns the addresses of up to `count` random peers, from this region only
    /// if `is_same_region`, otherwise from all regions.
    pub fn random_peers(&self, count: usize, is_same_region: bool) -> Vec<net::SocketAddr> {
        let region = &self.shared.identity.region;
        let candidates: Vec<net::SocketAddr> = self
            .peers
            .iter()
            .filter(|peer| !is_same_region || peer.region == *region)
            .map(|peer| peer.address)
            .collect();
        let chosen = candidates.choose_multiple(&mut rand::rng(), count);
        chosen.copied().collect()
    }

    /// Returns the VMs that may be advertised to callers: the alive peers, and
    /// this VM unless it is leaving.
    pub fn entry_vms(&self) -> Vec<gateway::EntryVm> {
        let identity = &self.shared.identity;
        let own = gateway::EntryVm {
            availability_zone: identity.availability_zone.clone(),
            caller_address: identity.caller_address,
            region: identity.region.clone(),
            resources: identity.resources,
        };
        let own = (!self.shared.is_leaving()).then_some(own);
        let alive = self.peers.iter();
        let alive = alive.filter(|peer| peer.state == membership::MemberState::Alive);
        let others = alive.map(|peer| gateway::EntryVm {
            availability_zone: peer.availability_zone.clone(),
            caller_address: peer.caller_address,
            region: peer.region.clone(),
            resources: self
                .resources
                .get(&peer.address)
                .copied()
                .unwrap_or_default(),
        });
        own.into_iter().chain(others).collect()
    }

    /// Returns this VM's share of the retry slack, in thousandths of a retry.
    ///
    /// The slack is divided equally among the VMs that are advertised to callers.
    /// Any other VM receives few requests and has no slack.
    pub fn retry_slack_milli(&self, vms: &[gateway::EntryVm]) -> u64 {
        let advertised =
            entry_points::advertised(&self.shared.config, vms, self.has_downloads, None);
        if !advertised.contains(&self.shared.identity.caller_address) {
            return 0;
        }
        self.shared.retry_slack_milli() / advertised.len().max(1) as u64
    }

    /// Returns the peer addresses of the VMs that are advertised to callers of
    /// this region and so serve its requests.
    pub fn advertised_region_peers(&self) -> Vec<net::SocketAddr> {
        self.advertised_peers_of(Some(&self.shared.identity.region))
    }

    /// Returns the peer addresses of the VMs that are advertised to callers of any
    /// region.
    pub fn advertised_peers(&self) -> Vec<net::SocketAddr> {
        self.advertised_peers_of(None)
    }

    /// Returns the peer addresses of the VMs that do not serve callers: those that are
    /// alive and not advertised, and those that leave.
    pub fn idle_vms(&self, serving: &[net::SocketAddr]) -> indexmap::IndexSet<net::SocketAddr> {
        let others = self.membership.members().skip(1);
        let idle = others.filter(|member| match member.state {
            membership::MemberState::Alive => !serving.contains(&member.address),
            membership::MemberState::Leaving => true,
            membership::MemberState::Dead | membership::MemberState::Suspect => false,
        });
        idle.map(|member| member.address).collect()
    }

    /// Returns whether this VM is advertised to callers.
    pub fn is_advertised(&self, vms: &[gateway::EntryVm]) -> bool {
        let advertised =
            entry_points::advertised(&self.shared.config, vms, self.has_downloads, None);
        advertised.contains(&self.shared.identity.caller_address)
    }

    fn advertised_peers_of(&self, region: Option<&str>) -> Vec<net::SocketAddr> {
        let vms = self.entry_vms();
        let advertised =
            entry_points::advertised(&self.shared.config, &vms, self.has_downloads, region);
        let peers = self.peers.iter();
        let advertised_peers = peers.filter(|peer| advertised.contains(&peer.caller_address));
        advertised_peers.map(|peer| peer.address).collect()
    }

    fn update_peers(&mut self) {
        let others = self.membership.members().skip(1);
        let live = others.filter(|member| {
            !matches!(
                member.state,
                membership::MemberState::Dead | membership::MemberState::Leaving
            )
        });
        self.peers = live.cloned().collect();
        let addresses = self.peers.iter().map(|peer| peer.address);
        let addresses: indexmap::IndexSet<net::SocketAddr> = addresses.collect();
        self.announced_to
            .retain(|address| addresses.contains(address));
        let members = self.membership.members().map(|member| member.address);
        let members: indexmap::IndexSet<net::SocketAddr> = members.collect();
        if self.resources.len() >= members.len() + MAX_RESOURCES_OF_NON_MEMBERS {
            self.resources
                .retain(|address, _| members.contains(address));
        }
        let suspects = self.peers.iter();
        let suspects = suspects.filter(|peer| peer.state == membership::MemberState::Suspect);
        let suspects = suspects.count();
        self.shared.decision_log.record("membership.changed", || {
            format!("vms={} suspects={suspects}", self.peers.len() + 1)
        });
    }
}

/// Returns the rank of a VM as a reader of the store. Higher ranks are preferred.
fn reader_rank(peer: net::SocketAddr) -> u64 {
    balancing::rendezvous::rank("store", &peer.to_string())
}
