//! Spread of a large configuration over slow links, in virtual time.

use std::sync;

use foxtailwinch::context;
use foxtailwinch::gateway;
use foxtailwinch::gateway::StateSource as _;
use foxtailwinch::ports;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand::seq::IndexedRandom as _;

use crate::fixtures;

const REGIONS: usize = 2;
const VMS: usize = 110;
const READERS_PER_REGION: usize = 2;
const STEP_MS: u64 = 5;
const TICK_MS: u64 = 75;
const READ_INTERVAL_MS: u64 = 300;
const STALE_MS: u64 = 2_000;
/// Time for which a read of the store waits for a change.
const READ_WAIT_MS: u64 = 1_000;
/// Timeout of a call, to the store after its wait or to a peer.
const CALL_TIMEOUT_MS: u64 = 800;
const SUMMARY_INTERVAL_MS: u64 = 300;
/// Pulls that a VM serves at the same time.
const MAX_SESSIONS: usize = 4;
/// Throughput of most VMs' links: 10 Mbit/s.
const SLOW_LINK_BYTES_PER_MS: u64 = 1_250;
/// Throughput of one link in six: 200 Mbit/s.
const FAST_LINK_BYTES_PER_MS: u64 = 25_000;
/// Throughput between the regions: 60 Mbit/s.
const REGION_LINK_BYTES_PER_MS: u64 = 7_500;
/// Bytes of a route in the operator's record.
const RECORD_ROUTE_BYTES: u64 = 200;
const ROUTES_BEFORE: usize = 2_800;
const ROUTES_ADDED: usize = 1_400;
/// When each version becomes readable in the store, and when the store acknowledges
/// it.
const VERSIONS: [(u64, u64); 2] = [(800, 2_617), (3_800, 5_233)];
/// Time after the acknowledgement within which a version must be in force.
const APPLY_MS: u64 = 3_000;

/// End of a transfer that is not a VM.
const STORE: usize = usize::MAX;

struct Vm {
    confirmed_ms: u64,
    fast: bool,
    /// Newest version that the VM has or has heard of.
    heard: usize,
    in_force_ms: [Option<u64>; VERSIONS.len()],
    jitter_ms: u64,
    pulls: gateway::PullSchedule,
    read: Option<Read>,
    schedule: gateway::ReadSchedule,
    session_count: usize,
    version: usize,
}

/// Read of the store that waits for a change.
struct Read {
    begun_ms: u64,
}

/// Message on its way, the last of `messages`.
struct Transfer {
    bytes_left: u64,
    confirmed_ms: u64,
    deadline_ms: u64,
    from: usize,
    messages: Vec<u64>,
    to: usize,
    version: usize,
}

struct Fleet {
    due_summaries: Vec<(u64, usize, usize)>,
    now_ms: u64,
    random: rand::rngs::SmallRng,
    /// Sizes of the replies of a pull, by base and pulled version.
    replies: Vec<Vec<Vec<u64>>>,
    standby_reads: usize,
    transfers: Vec<Transfer>,
    vms: Vec<Vm>,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let mut random = rand::rngs::SmallRng::seed_from_u64(seed);
        let vms = (0..VMS).map(|number| {
            let jitter_ms = random.random_range(0..120);
            let mut schedule = gateway::ReadSchedule::new(READ_INTERVAL_MS, STALE_MS, jitter_ms);
            schedule.begin_read();
            schedule.end_read(0, true);
            Vm {
                confirmed_ms: 0,
                fast: number % 6 == 5,
                heard: 0,
                in_force_ms: [None; VERSIONS.len()],
                jitter_ms,
                pulls: gateway::PullSchedule::default(),
                read: None,
                schedule,
                session_count: 0,
                version: 0,
            }
        });
        Self {
            due_summaries: Vec::new(),
            now_ms: 0,
            vms: vms.collect(),
            random,
            replies: reply_sizes(),
            standby_reads: 0,
            transfers: Vec::new(),
        }
    }

    fn run(&mut self) {
        let (_, last_ack_ms) = VERSIONS[VERSIONS.len() - 1];
        while self.now_ms < last_ack_ms + APPLY_MS {
            self.now_ms += STEP_MS;
            self.move_bytes();
            self.deliver_summaries();
            for vm in 0..VMS {
                self.advance_read(vm);
                let offset_ms = self.vms[vm].jitter_ms / STEP_MS * STEP_MS;
                if (self.now_ms + offset_ms).is_multiple_of(TICK_MS) {
                    self.tick(vm);
                }
            }
        }
    }

    fn tick(&mut self, vm: usize) {
        let role = role(vm);
        let state = &mut self.vms[vm];
        if state
            .schedule
            .is_due(self.now_ms, role, Some(state.confirmed_ms))
        {
            state.schedule.begin_read();
            state.read = Some(Read {
                begun_ms: self.now_ms,
            });
            self.standby_reads += usize::from(!role.is_reader);
        }
        if (self.now_ms + self.vms[vm].jitter_ms / STEP_MS * STEP_MS)
            .is_multiple_of(SUMMARY_INTERVAL_MS)
        {
            self.announce(vm, 1, 1);
        }
    }

    fn announce(&mut self, vm: usize, region_count: usize, any_count: usize) {
        let others: Vec<usize> = (0..VMS).filter(|other| *other != vm).collect();
        let in_region: Vec<usize> = others
            .iter()
            .copied()
            .filter(|other| region(*other) == region(vm))
            .collect();
        let mut receivers: Vec<usize> = in_region
            .choose_multiple(&mut self.random, region_count)
            .copied()
            .collect();
        receivers.extend(others.choose_multiple(&mut self.random, any_count));
        for to in receivers {
            let at_ms = self.now_ms + one_way_ms(vm, to);
            self.due_summaries.push((at_ms, vm, to));
        }
    }

    fn deliver_summaries(&mut self) {
        let now_ms = self.now_ms;
        let due = self
            .due_summaries
            .extract_if(.., |(at_ms, _, _)| *at_ms <= now_ms);
        for (_, from, to) in due.collect::<Vec<_>>() {
            self.handle_summary(from, to);
            // The receiver replies if its own state is newer or fresher.
            self.handle_summary(to, from);
        }
    }

    fn handle_summary(&mut self, from: usize, to: usize) {
        let (version, confirmed_ms) = (self.vms[from].version, self.vms[from].confirmed_ms);
        let heard = self.vms[from].heard.max(version);
        let state = &mut self.vms[to];
        if version == state.version {
            state.confirmed_ms = state.confirmed_ms.max(confirmed_ms);
        }
        let is_newer = version > state.version;
        state.heard = state.heard.max(heard);
        if state.heard > state.version {
            state.schedule.record_source(self.now_ms);
        }
        let candidate = gateway::PullCandidate {
            is_newer,
            is_same_region: region(from) == region(to),
            puller: if role(to).is_reader {
                gateway::Puller::Reader
            } else {
                gateway::Puller::Updating
            },
        };
        if !state.pulls.try_begin(self.now_ms, candidate) {
            return;
        }
        if self.vms[from].session_count >= MAX_SESSIONS {
            self.vms[to].pulls.end_pull(false);
            return;
        }
        self.vms[from].session_count += 1;
        let messages = self.replies[self.vms[to].version][version].clone();
        self.send(from, to, messages, version, confirmed_ms);
    }

    fn send(
        &mut self,
        from: usize,
        to: usize,
        messages: Vec<u64>,
        version: usize,
        confirmed_ms: u64,
    ) {
        self.transfers.push(Transfer {
            bytes_left: *messages.last().expect("a message"),
            confirmed_ms,
            deadline_ms: self.now_ms + CALL_TIMEOUT_MS,
            from,
            messages,
            to,
            version,
        });
    }

    /// Waits for a change, then transfers all records since the VM's version.
    fn advance_read(&mut self, vm: usize) {
        let newest = VERSIONS.iter().filter(|(at_ms, _)| *at_ms <= self.now_ms);
        let newest = newest.count();
        let state = &mut self.vms[vm];
        let Some(read) = &state.read else {
            return;
        };
        let deadline_ms = read.begun_ms + READ_WAIT_MS + CALL_TIMEOUT_MS;
        if newest > state.version {
            let records = (state.version + 1..=newest).count() as u64;
            let routes = (ROUTES_BEFORE + ROUTES_ADDED) as u64;
            state.read = None;
            let bytes = records * routes * RECORD_ROUTE_BYTES;
            self.send(STORE, vm, vec![bytes], newest, self.now_ms);
            let transfer = self.transfers.last_mut().expect("just sent");
            transfer.deadline_ms = deadline_ms;
        } else if self.now_ms >= read.begun_ms + READ_WAIT_MS {
            state.read = None;
            state.confirmed_ms = self.now_ms;
            state.schedule.end_read(self.now_ms, true);
        }
    }

    /// Shares each link equally among its transfers.
    fn move_bytes(&mut self) {
        let mut by_link: indexmap::IndexMap<(usize, bool), u64> = indexmap::IndexMap::new();
        let mut between_regions = 0;
        for transfer in &self.transfers {
            *by_link.entry((transfer.from, true)).or_default() += 1;
            *by_link.entry((transfer.to, false)).or_default() += 1;
            between_regions += u64::from(is_between_regions(transfer.from, transfer.to));
        }
        for transfer in &mut self.transfers {
            let (from, to) = (transfer.from, transfer.to);
            let mut rate = link_bytes_per_ms(&self.vms, to) / by_link[&(to, false)];
            if from != STORE {
                rate = rate.min(link_bytes_per_ms(&self.vms, from) / by_link[&(from, true)]);
            }
            if is_between_regions(from, to) {
                rate = rate.min(REGION_LINK_BYTES_PER_MS / between_regions);
            }
            transfer.bytes_left = transfer.bytes_left.saturating_sub(rate * STEP_MS);
        }
        let now_ms = self.now_ms;
        let ended = self.transfers.extract_if(.., |transfer| {
            transfer.bytes_left == 0 || transfer.deadline_ms <= now_ms
        });
        for transfer in ended.collect::<Vec<_>>() {
            self.end_transfer(transfer);
        }
    }

    fn end_transfer(&mut self, mut transfer: Transfer) {
        let is_complete = transfer.bytes_left == 0;
        let is_last = transfer.messages.len() == 1;
        if is_complete && !is_last {
            transfer.messages.pop();
            let (version, confirmed_ms) = (transfer.version, transfer.confirmed_ms);
            let (from, to) = (transfer.from, transfer.to);
            self.send(from, to, transfer.messages, version, confirmed_ms);
            return;
        }
        let receiver = &mut self.vms[transfer.to];
        if transfer.from == STORE {
            receiver.schedule.end_read(self.now_ms, is_complete);
        } else {
            receiver.pulls.end_pull(is_complete);
            self.vms[transfer.from].session_count -= 1;
        }
        let receiver = &mut self.vms[transfer.to];
        if !is_complete || transfer.version < receiver.version {
            return;
        }
        receiver.confirmed_ms = receiver.confirmed_ms.max(transfer.confirmed_ms);
        if transfer.version > receiver.version {
            for version in receiver.version..transfer.version {
                receiver.in_force_ms[version] = Some(self.now_ms);
            }
            receiver.version = transfer.version;
            self.announce(transfer.to, 3, 1);
        }
    }
}

fn region(vm: usize) -> usize {
    vm % REGIONS
}

/// The store is in the first region.
fn is_between_regions(from: usize, to: usize) -> bool {
    let from_region = if from == STORE { 0 } else { region(from) };
    from_region != region(to)
}

fn one_way_ms(from: usize, to: usize) -> u64 {
    if is_between_regions(from, to) { 30 } else { 2 }
}

fn link_bytes_per_ms(vms: &[Vm], vm: usize) -> u64 {
    if vms[vm].fast {
        FAST_LINK_BYTES_PER_MS
    } else {
        SLOW_LINK_BYTES_PER_MS
    }
}

fn role(vm: usize) -> gateway::ReaderRole {
    let preferred_count = vm / REGIONS;
    gateway::ReaderRole {
        is_reader: preferred_count < READERS_PER_REGION,
        is_seed: false,
        preferred_count: preferred_count as u64,
    }
}

fn routes(count: usize, weight: u32) -> Vec<ports::Route> {
    let routes = (0..count).map(|number| {
        let prefix = format!("/prefix{number}/part/");
        let mut route = fixtures::route("jepu9.example", &prefix, &format!("r-{number:07}"));
        if number == 0 {
            route.targets[0].weight = weight;
        }
        route
    });
    routes.collect()
}

/// Returns the sizes of the replies of a pull, the last one first, by base and
/// pulled version.
fn reply_sizes() -> Vec<Vec<Vec<u64>>> {
    let all = ROUTES_BEFORE + ROUTES_ADDED;
    let versions = [routes(ROUTES_BEFORE, 1), routes(all, 1), routes(all, 2)];
    let mut cache = gateway::StoreCache::new(sync::Arc::new(context::ManualClock::default()));
    let mut sizes = vec![Vec::new(); versions.len()];
    for (version, routes) in versions.into_iter().enumerate() {
        let configuration = fixtures::configuration(version as u64 + 1, routes);
        cache.set_routes(sync::Arc::new(gateway::RouteIndex::build(sync::Arc::new(
            configuration,
        ))));
        let source = gateway::StoreCacheSource(sync::Arc::new(sync::Mutex::new(cache)));
        for (base, sizes) in sizes.iter_mut().enumerate() {
            sizes.push(replies(&source, base as u64 + 1));
        }
        let inner = sync::Arc::into_inner(source.0).expect("one owner");
        cache = inner.into_inner().expect("no test has failed");
    }
    sizes
}

fn replies(source: &gateway::StoreCacheSource, base_version: u64) -> Vec<u64> {
    let reply = source.state_after(0, base_version, 400);
    let mut sizes = vec![encoded_bytes(&reply)];
    if let Some(first) = reply.configuration {
        let mut count = first.routes.0.len();
        while count < first.route_count {
            let further = source.routes_after(first.head.base_version, first.head.version, count);
            count += further.0.len();
            sizes.push(encoded_bytes(&further));
        }
    }
    sizes.reverse();
    sizes
}

fn encoded_bytes(reply: &impl serde::Serialize) -> u64 {
    serde_json::to_vec(reply).expect("a reply").len() as u64
}

/// Guards against a new version that comes too late: while a configuration of 4,200
/// routes spread, all VMs of both regions read it from the store, and a change of two
/// weights after it took seconds to reach the region without the store.
#[test]
fn large_configuration_reaches_all_vms_without_reads_of_the_store_by_all() {
    for seed in 1..=5 {
        let mut fleet = Fleet::new(seed);
        fleet.run();
        let mut latest_ms = [0; VERSIONS.len()];
        for vm in &fleet.vms {
            for (latest_ms, in_force_ms) in latest_ms.iter_mut().zip(vm.in_force_ms) {
                *latest_ms = (*latest_ms).max(in_force_ms.unwrap_or(u64::MAX));
            }
        }
        println!(
            "seed {seed}: in force everywhere after {latest_ms:?} ms; {} reads by VMs that are no \
             readers",
            fleet.standby_reads
        );
        for ((_, acknowledged_ms), latest_ms) in VERSIONS.iter().zip(latest_ms) {
            assert!(latest_ms <= acknowledged_ms + APPLY_MS, "seed {seed}");
        }
        assert_eq!(fleet.standby_reads, 0, "seed {seed}");
    }
}

/// Guards against pulls that never finish: four VMs that pulled 1,400 routes from a VM
/// with a slow link at the same time all timed out and began anew.
#[test]
fn each_reply_of_a_pull_passes_a_slow_link_within_its_timeout() {
    let allowed = SLOW_LINK_BYTES_PER_MS * CALL_TIMEOUT_MS / MAX_SESSIONS as u64;
    for (base, replies) in reply_sizes().iter().enumerate() {
        for (version, sizes) in replies.iter().enumerate() {
            let largest = sizes.iter().max().expect("a reply");
            assert!(
                *largest <= allowed,
                "from {base} to {version}: {largest} bytes of at most {allowed}"
            );
        }
    }
}

/// Guards against a configuration that is put in force with a part of its routes: they
/// come in several replies, and the peer may get a newer version in between.
#[test]
fn configuration_pulled_in_several_replies_is_complete() {
    let configurations = [routes(900, 1), routes(2_300, 1), routes(2_300, 2)];
    let mut configurations = configurations.into_iter().zip([10, 20, 30]);
    let mut next = || {
        let (routes, version) = configurations.next().expect("a configuration");
        sync::Arc::new(fixtures::configuration(version, routes))
    };
    let (base, wanted, newer) = (next(), next(), next());
    let put_in_force = |source: &gateway::StoreCacheSource, configuration: &sync::Arc<_>| {
        let index = gateway::RouteIndex::build(sync::Arc::clone(configuration));
        let mut cache = source.0.lock().expect("no test has failed");
        cache.set_routes(sync::Arc::new(index));
    };
    let cache = gateway::StoreCache::new(sync::Arc::new(context::ManualClock::default()));
    let source = gateway::StoreCacheSource(sync::Arc::new(sync::Mutex::new(cache)));
    put_in_force(&source, &base);
    put_in_force(&source, &wanted);
    for (own_version, base) in [(10, Some(&base)), (0, None), (7, None)] {
        let reply = source.state_after(0, own_version, 400);
        let text = serde_json::to_string(&reply).expect("a reply");
        let reply: gateway::PulledState = serde_json::from_str(&text).expect("the same reply");
        let mut pulled = reply.configuration.expect("a change");
        assert!(!pulled.is_complete());
        while !pulled.is_complete() {
            put_in_force(&source, &newer);
            let head = &pulled.head;
            let count = pulled.routes.0.len();
            let further = source.routes_after(head.base_version, head.version, count);
            assert!(!further.0.is_empty(), "the earlier version is still stored");
            pulled.routes.0.extend(further.0);
        }
        let change = pulled.into_change();
        let mut applied = change
            .apply(base.map(AsRef::as_ref))
            .expect("the base fits");
        applied.routes.sort_by(|a, b| a.name.cmp(&b.name));
        let mut expected = wanted.as_ref().clone();
        expected.routes.sort_by(|a, b| a.name.cmp(&b.name));
        assert!(applied == expected, "from version {own_version}");
        put_in_force(&source, &wanted);
    }
    let gone = source.routes_after(10, 99, 0);
    assert!(gone.0.is_empty(), "a version that is not stored");
}
