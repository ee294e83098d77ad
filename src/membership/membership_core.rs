//! The gossip membership protocol of one VM.

use std::collections;
use std::net;

use crate::configs;
use crate::membership;
use crate::membership::gossip_queue;
use crate::membership::member_table;

/// Gossip membership protocol of one VM, with its view of all other VMs.
pub struct Membership {
    pub(super) actions: Vec<membership::MembershipAction>,
    /// VMs known by address only, whose records are still needed.
    pub(super) candidates: indexmap::IndexSet<net::SocketAddr>,
    /// Whether the driver must read the members again.
    pub(super) changed: bool,
    pub(super) config: configs::membership::MembershipConfig,
    pub(super) configuration_next_offset: u64,
    pub(super) dead_probe_due_ms: u64,
    /// When suspects become dead and dead members are removed, by time.
    pub(super) expiries: collections::BTreeSet<(u64, net::SocketAddr)>,
    /// The same times as in `expiries`, by member.
    pub(super) expiry_ms: indexmap::IndexMap<net::SocketAddr, u64>,
    pub(super) gossip: gossip_queue::GossipQueue,
    pub(super) next_seq: u64,
    pub(super) now_ms: u64,
    pub(super) own_member: membership::Member,
    pub(super) period_due_ms: Option<u64>,
    pub(super) probe: Option<Probe>,
    /// Pings on behalf of other VMs, by the sequence number of the ping.
    pub(super) relays: indexmap::IndexMap<u64, Relay>,
    pub(super) repair_due_ms: u64,
    pub(super) rng: rand::rngs::SmallRng,
    /// Number of comparisons with a peer right after the start.
    pub(super) start_comparison_count: u32,
    pub(super) start_comparison_due_ms: u64,
    /// First bucket still to be fetched after the start; `None` when complete.
    pub(super) sync_next_bucket: Option<u16>,
    pub(super) table: member_table::MemberTable,
}

/// The probe of the current period, until it is acknowledged.
#[derive(Clone, Copy)]
pub struct Probe {
    /// When to send ping requests for the target; `None` once they are sent.
    pub indirect_due_ms: Option<u64>,
    /// Sequence number of the ping.
    pub seq: u64,
    /// Address of the pinged member.
    pub target: net::SocketAddr,
}

/// A ping sent on behalf of another VM.
#[derive(Clone, Copy)]
pub struct Relay {
    /// Address of the VM that requested the ping.
    pub requester: net::SocketAddr,
    /// Sequence number of the probe at the requester.
    pub requester_seq: u64,
    /// When the relay is dropped, because the requester no longer waits.
    pub due_ms: u64,
}

impl Membership {
    /// Creates the membership of a VM that has just started and knows no other
    /// VM.
    #[must_use]
    pub fn new(
        config: configs::membership::MembershipConfig,
        own_member: membership::Member,
        rng: rand::rngs::SmallRng,
    ) -> Self {
        Self {
            actions: Vec::new(),
            candidates: indexmap::IndexSet::new(),
            changed: false,
            config,
            configuration_next_offset: 0,
            dead_probe_due_ms: 0,
            expiries: collections::BTreeSet::new(),
            expiry_ms: indexmap::IndexMap::new(),
            gossip: gossip_queue::GossipQueue::default(),
            next_seq: 0,
            now_ms: 0,
            own_member,
            period_due_ms: None,
            probe: None,
            relays: indexmap::IndexMap::new(),
            repair_due_ms: 0,
            rng,
            start_comparison_count: 0,
            start_comparison_due_ms: 0,
            sync_next_bucket: Some(0),
            table: member_table::MemberTable::new(),
        }
    }

    /// Returns all known members, this VM first, including dead ones.
    pub fn members(&self) -> impl Iterator<Item = &membership::Member> {
        std::iter::once(&self.own_member).chain(self.table.iter())
    }

    /// Returns when the next [`membership::MembershipEvent::Tick`] is due; `None`
    /// before the first event.
    #[must_use]
    pub fn next_wakeup_ms(&self) -> Option<u64> {
        let indirect_ms = self.probe.and_then(|probe| probe.indirect_due_ms);
        let expiry_ms = self.expiries.first().map(|(due_ms, _)| *due_ms);
        let comparison_ms = self.next_start_comparison_ms();
        [self.period_due_ms, indirect_ms, expiry_ms, comparison_ms]
            .into_iter()
            .flatten()
            .min()
    }

    /// Applies an update, and queues it for gossip if `propagate` is set.
    ///
    /// Returns whether the update needs a full record that this VM lacks.
    pub(super) fn apply(&mut self, update: membership::Update, propagate: bool) -> bool {
        if update.address() == self.own_member.address {
            self.refute(&update);
            return false;
        }
        let known = self.table.get(update.address());
        let member = match (update, known) {
            (membership::Update::Joined(member), None) => {
                if member.state == membership::MemberState::Dead {
                    return false;
                }
                member
            }
            (membership::Update::Joined(member), Some(known)) => {
                if !member.stamp().is_newer_than(&known.stamp()) {
                    return false;
                }
                member
            }
            (membership::Update::Changed(stamp), None) => {
                return stamp.state != membership::MemberState::Dead;
            }
            (membership::Update::Changed(stamp), Some(known)) => {
                if !stamp.is_newer_than(&known.stamp()) {
                    return false;
                }
                if stamp.incarnation != known.incarnation {
                    return true;
                }
                membership::Member {
                    state: stamp.state,
                    version: stamp.version,
                    ..known.clone()
                }
            }
        };
        self.set_member(member, propagate);
        false
    }

    fn set_member(&mut self, member: membership::Member, propagate: bool) {
        let address = member.address;
        let known = self.table.get(address);
        let joined = known.is_none_or(|known| known.incarnation != member.incarnation);
        let state = member.state;
        self.changed |= known.is_none_or(|known| joined || known.state != state);
        self.candidates.swap_remove(&address);
        self.table.set(member);
        self.set_expiry(address, state);
        if propagate {
            let transmissions = self.config.gossip_transmissions;
            self.gossip.push(address, joined, transmissions);
        }
    }

    fn set_expiry(&mut self, address: net::SocketAddr, state: membership::MemberState) {
        if let Some(due_ms) = self.expiry_ms.swap_remove(&address) {
            self.expiries.remove(&(due_ms, address));
        }
        let after_ms = match state {
            membership::MemberState::Alive | membership::MemberState::Leaving => return,
            membership::MemberState::Dead => self.config.dead_retention_ms,
            membership::MemberState::Suspect => self.config.suspicion_timeout_ms,
        };
        let due_ms = self.now_ms.saturating_add(after_ms);
        self.expiry_ms.insert(address, due_ms);
        self.expiries.insert((due_ms, address));
    }

    /// Refutes an update about this VM that is newer than its own record, by
    /// announcing a version above it.
    fn refute(&mut self, update: &membership::Update) {
        let stamp = match update {
            membership::Update::Changed(stamp) => *stamp,
            membership::Update::Joined(member) => member.stamp(),
        };
        if stamp.incarnation == self.own_member.incarnation
            && stamp.is_newer_than(&self.own_member.stamp())
        {
            self.own_member.version = stamp.version + 1;
            self.announce_own_state();
        }
    }

    pub(super) fn announce_own_state(&mut self) {
        self.changed = true;
        let transmissions = self.config.gossip_transmissions;
        self.gossip
            .push(self.own_member.address, false, transmissions);
    }

    pub(super) fn find_member(&self, address: net::SocketAddr) -> Option<&membership::Member> {
        if address == self.own_member.address {
            return Some(&self.own_member);
        }
        self.table.get(address)
    }
}
