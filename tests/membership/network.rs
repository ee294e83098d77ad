//! A fleet of membership state machines in one process and in virtual time, on
//! a simulated network with packet loss and cuts.

use std::collections;
use std::net;

use foxtailwinch::configs;
use foxtailwinch::membership;
use foxtailwinch::state_machine::StateMachine as _;
use rand::Rng as _;
use rand::SeedableRng as _;

/// One-way latency between availability zones.
const LATENCY_MS: u64 = 1;
/// Size of the transport headers of a message.
const HEADER_BYTES: usize = 40;

/// Returns whether the network is cut from one VM (first) to another (second).
pub type Cut = Box<dyn Fn(usize, usize) -> bool>;

pub struct Network {
    config: configs::membership::MembershipConfig,
    pub cut: Cut,
    in_flight: collections::BTreeMap<(u64, u64), Packet>,
    incarnation: u64,
    pub loss_percent: u32,
    pub now_ms: u64,
    pub offsets_reported: Vec<(usize, u64)>,
    pub received_bytes: Vec<usize>,
    rng: rand::rngs::SmallRng,
    seed: u64,
    pub sent_bytes: Vec<usize>,
    sent_count: u64,
    pub vms: Vec<Option<membership::Membership>>,
    wakeups: collections::BTreeSet<(u64, usize)>,
}

struct Packet {
    from: usize,
    message: membership::Message,
    to: usize,
}

pub fn address(vm: usize) -> net::SocketAddr {
    let [.., high, low] = vm.to_be_bytes();
    net::SocketAddr::from(([10, 0, high, low], 7_000))
}

fn index_of(address: net::SocketAddr) -> usize {
    let net::IpAddr::V4(ip) = address.ip() else {
        panic!("the fleet has IPv4 addresses");
    };
    let [.., high, low] = ip.octets();
    usize::from(high) * 256 + usize::from(low)
}

/// Returns the zone of a VM. Even indexes are in one region, odd ones in the
/// other.
pub fn zone(vm: usize) -> &'static str {
    ["kariakoo", "arusha", "mbezi", "moshi"][vm % 4]
}

pub fn region(vm: usize) -> &'static str {
    ["pwani", "kaskazini"][vm % 2]
}

fn member(vm: usize, incarnation: u64) -> membership::Member {
    membership::Member {
        address: address(vm),
        availability_zone: zone(vm).to_owned(),
        caller_address: net::SocketAddr::new(address(vm).ip(), 8_000),
        incarnation,
        region: region(vm).to_owned(),
        state: membership::MemberState::Alive,
        version: 0,
        vm_id: format!("vm-{vm:06}"),
    }
}

impl Network {
    /// Creates a fleet in which all VMs know each other.
    pub fn new(vm_count: usize, seed: u64) -> Self {
        let mut network = Self {
            config: configs::membership::MembershipConfig::default(),
            cut: Box::new(|_, _| false),
            in_flight: collections::BTreeMap::new(),
            incarnation: 1,
            loss_percent: 0,
            now_ms: 0,
            offsets_reported: Vec::new(),
            received_bytes: vec![0; vm_count],
            rng: rand::rngs::SmallRng::seed_from_u64(seed),
            seed,
            sent_bytes: vec![0; vm_count],
            sent_count: 0,
            vms: (0..vm_count).map(|_| None).collect(),
            wakeups: collections::BTreeSet::new(),
        };
        let members: Vec<_> = (0..vm_count).map(|vm| member(vm, 1)).collect();
        for vm in 0..vm_count {
            network.start(vm, 1);
            let body = membership::MessageBody::Sync {
                members: members.clone(),
                next_bucket: None,
            };
            let message = membership::Message {
                body,
                configuration_next_offset: 0,
                updates: Vec::new(),
            };
            let from = address((vm + 1) % vm_count);
            network.handle(vm, membership::MembershipEvent::Message { from, message });
        }
        network
    }

    fn start(&mut self, vm: usize, incarnation: u64) {
        let seed = self.seed ^ ((vm as u64) << 20) ^ incarnation;
        let rng = rand::rngs::SmallRng::seed_from_u64(seed);
        let core = membership::Membership::new(self.config.clone(), member(vm, incarnation), rng);
        self.vms[vm] = Some(core);
    }

    /// Starts a VM that knows the other VMs from the VM list only.
    pub fn join(&mut self, vm: usize) {
        self.incarnation += 1;
        self.start(vm, self.incarnation);
        let seen = (0..self.vms.len()).map(|vm| membership::ListedVm {
            address: address(vm),
            leaving: false,
            vm_id: format!("vm-{vm:06}"),
        });
        let seen = seen.collect();
        self.handle(vm, membership::MembershipEvent::VmList(seen));
    }

    /// Creates a fleet whose VMs have just started, within 300 ms of each other, and
    /// know only the first `seed_count` VMs.
    pub fn starting(vm_count: usize, seed_count: usize, seed: u64) -> Self {
        let mut network = Self::new(vm_count, seed);
        network.in_flight.clear();
        network.vms = (0..vm_count).map(|_| None).collect();
        network.wakeups.clear();
        network.reset_counts();
        let mut start_ms: Vec<(u64, usize)> = (0..vm_count)
            .map(|vm| (network.rng.random_range(0..300), vm))
            .collect();
        start_ms.sort_unstable();
        for (at_ms, vm) in start_ms {
            network.run(at_ms - network.now_ms);
            network.start(vm, 2);
            let seeds = (0..seed_count).filter(|seed| *seed != vm);
            let seeds = seeds.map(|seed| membership::ListedVm {
                address: address(seed),
                leaving: false,
                vm_id: format!("vm-{seed:06}"),
            });
            network.handle(vm, membership::MembershipEvent::VmList(seeds.collect()));
        }
        network
    }

    pub fn crash(&mut self, vm: usize) {
        self.vms[vm] = None;
    }

    pub fn handle(&mut self, vm: usize, event: membership::MembershipEvent) {
        let Some(core) = &mut self.vms[vm] else {
            return;
        };
        let actions = core.handle(self.now_ms, event);
        if let Some(due_ms) = core.next_wakeup_ms() {
            self.wakeups.insert((due_ms, vm));
        }
        for action in actions {
            match action {
                membership::MembershipAction::Changed => {}
                membership::MembershipAction::PeerOffsetSeen { next_offset, .. } => {
                    self.offsets_reported.push((vm, next_offset));
                }
                membership::MembershipAction::Send { message, to } => {
                    self.send(vm, index_of(to), message);
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: membership::Message) {
        let size_bytes = message.size_bytes() + HEADER_BYTES;
        self.sent_bytes[from] += size_bytes;
        let lost = self.rng.random_range(0..100) < self.loss_percent;
        if lost || (self.cut)(from, to) {
            return;
        }
        self.received_bytes[to] += size_bytes;
        self.sent_count += 1;
        let due = (self.now_ms + LATENCY_MS, self.sent_count);
        self.in_flight.insert(due, Packet { from, message, to });
    }

    /// Advances time by `ms` milliseconds, and delivers the messages and fires the
    /// timers that become due.
    pub fn run(&mut self, ms: u64) {
        let end_ms = self.now_ms + ms;
        loop {
            let message_ms = self.in_flight.first_key_value().map(|((ms, _), _)| *ms);
            let wakeup_ms = self.wakeups.first().map(|(ms, _)| *ms);
            let next_ms = message_ms.into_iter().chain(wakeup_ms).min();
            let Some(next_ms) = next_ms.filter(|next_ms| *next_ms <= end_ms) else {
                break;
            };
            self.now_ms = self.now_ms.max(next_ms);
            if message_ms == Some(next_ms) {
                let (_, packet) = self.in_flight.pop_first().expect("a message");
                let Packet { from, message, to } = packet;
                let from = address(from);
                self.handle(to, membership::MembershipEvent::Message { from, message });
            } else {
                let (_, vm) = self.wakeups.pop_first().expect("a wakeup");
                self.handle(vm, membership::MembershipEvent::Tick);
            }
        }
        self.now_ms = end_ms;
    }

    /// Runs until `done` returns `true`. Returns the elapsed time in seconds, or
    /// `None` if it exceeds `limit_s`.
    pub fn run_until(&mut self, limit_s: u64, done: impl Fn(&Self) -> bool) -> Option<u64> {
        for second in 0..=limit_s {
            if done(self) {
                return Some(second);
            }
            self.run(1_000);
        }
        None
    }

    /// Counts the pairs of an observing VM and a member in its list for which
    /// `matches` returns `true`. The arguments of `matches` are the index of the
    /// observing VM, the index of the member, and the member's state in the list.
    pub fn count_views(
        &self,
        matches: impl Fn(usize, usize, membership::MemberState) -> bool,
    ) -> usize {
        let views = self
            .vms
            .iter()
            .enumerate()
            .filter_map(|(observer, core)| Some((observer, core.as_ref()?)));
        views
            .flat_map(|(observer, core)| core.members().map(move |member| (observer, member)))
            .filter(|(observer, member)| matches(*observer, index_of(member.address), member.state))
            .count()
    }

    /// Returns the bytes per second that a VM sent and received, averaged over
    /// all VMs and the `seconds` since the counts were reset.
    pub fn bytes_per_second(&self, seconds: u64) -> usize {
        self.vm_bytes().sum::<usize>() / seconds_as_usize(seconds) / self.vms.len()
    }

    /// Returns the bytes per second of the VM with the most traffic.
    pub fn busiest_bytes_per_second(&self, seconds: u64) -> usize {
        self.vm_bytes().max().unwrap_or(0) / seconds_as_usize(seconds)
    }

    fn vm_bytes(&self) -> impl Iterator<Item = usize> {
        let both = self.sent_bytes.iter().zip(&self.received_bytes);
        both.map(|(sent, received)| sent + received)
    }

    pub fn reset_counts(&mut self) {
        self.sent_bytes.fill(0);
        self.received_bytes.fill(0);
    }
}

fn seconds_as_usize(seconds: u64) -> usize {
    usize::try_from(seconds).expect("some seconds")
}
