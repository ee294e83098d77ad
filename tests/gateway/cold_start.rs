//! Cold start of a large fleet from the store alone, in virtual time.

use std::collections;

use foxtailwinch::gateway;
use foxtailwinch::ports;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand::seq::IndexedRandom as _;

use crate::fixtures;

const REGIONS: usize = 2;
const SEED_VMS: usize = 3;
const TICK_MS: u64 = 75;
/// Ticks between two requests of a VM without state.
const TICKS_PER_REQUEST: u64 = 2;
const READ_INTERVAL_MS: u64 = 300;
const STALE_MS: u64 = 2_000;
/// Records on one page of the store's newest records.
const PAGE_RECORDS: usize = 50;
/// Calls per second above which the store refuses reads, for each entry VM.
const STORE_READS_PER_VM_S: usize = 16_000 / 293;
/// Bytes of a row in a reply of a pull, rounded up.
const ROW_BYTES: u64 = 150;
/// Throughput of a VM's link: 20 Mbit/s.
const LINK_BYTES_PER_MS: u64 = 2_500;
/// Pulls that a VM serves at the same time.
const MAX_SESSIONS: u64 = 4;
/// Time within which the fleet must serve again, by the contract.
const RECOVERY_MS: u64 = 15_000;

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Tick { vm: usize },
    PageArrives { vm: usize },
    Summary { from: usize, to: usize },
    PullEnds { from: usize, to: usize },
}

struct Vm {
    full_read: gateway::FullRead<ports::Backend>,
    is_seed: bool,
    jitter_ms: u64,
    peers_known_ms: u64,
    pulls: gateway::PullSchedule,
    ready_ms: Option<u64>,
    region: usize,
    schedule: gateway::ReadSchedule,
    session_count: u64,
    table: gateway::BackendTable,
}

struct Fleet {
    cross_region_copies: u64,
    events: collections::BTreeSet<(u64, u64, Event)>,
    next_event_number: u64,
    now_ms: u64,
    random: rand::rngs::SmallRng,
    records: Vec<ports::FeedEntry<ports::Backend>>,
    store_calls: Vec<u64>,
    vms: Vec<Vm>,
}

impl Fleet {
    fn new(vm_count: usize, server_count: usize, seed: u64) -> Self {
        let mut random = rand::rngs::SmallRng::seed_from_u64(seed);
        let vms = (0..vm_count).map(|number| {
            let jitter_ms = random.random_range(0..120);
            let schedule = gateway::ReadSchedule::new(READ_INTERVAL_MS, STALE_MS, jitter_ms);
            Vm {
                full_read: gateway::FullRead::default(),
                is_seed: number < SEED_VMS,
                jitter_ms,
                peers_known_ms: random.random_range(100..1_000),
                pulls: gateway::PullSchedule::default(),
                ready_ms: None,
                region: number % REGIONS,
                schedule,
                session_count: 0,
                table: gateway::BackendTable::default(),
            }
        });
        let vms: Vec<Vm> = vms.collect();
        let records = (0..server_count as u64).map(|number| {
            let id = format!("s{number:05}");
            fixtures::entry(number, &id, Some(fixtures::backend(&id)))
        });
        let mut fleet = Self {
            cross_region_copies: 0,
            events: collections::BTreeSet::new(),
            next_event_number: 0,
            now_ms: 0,
            random,
            records: records.collect(),
            store_calls: Vec::new(),
            vms,
        };
        for vm in 0..vm_count {
            fleet.push(fleet.vms[vm].jitter_ms, Event::Tick { vm });
        }
        fleet
    }

    fn push(&mut self, delay_ms: u64, event: Event) {
        self.next_event_number += 1;
        let at_ms = self.now_ms + delay_ms;
        self.events.insert((at_ms, self.next_event_number, event));
    }

    fn run(&mut self) {
        while self.vms.iter().any(|vm| vm.ready_ms.is_none()) && self.now_ms < RECOVERY_MS {
            let (at_ms, _, event) = self.events.pop_first().expect("ticks go on");
            self.now_ms = at_ms;
            match event {
                Event::Tick { vm } => self.tick(vm),
                Event::PageArrives { vm } => self.read_page(vm),
                Event::Summary { from, to } => self.handle_summary(from, to),
                Event::PullEnds { from, to } => self.end_pull(from, to),
            }
        }
    }

    fn tick(&mut self, vm: usize) {
        self.push(TICK_MS, Event::Tick { vm });
        let role = self.role(vm);
        let state = &mut self.vms[vm];
        if state
            .schedule
            .is_due(self.now_ms, role, state.table.confirmed_ms())
        {
            state.schedule.begin_read();
            if state.ready_ms.is_none() {
                let delay_ms = self.store_round_trip_ms(vm);
                self.push(delay_ms, Event::PageArrives { vm });
            } else {
                self.store_calls.push(self.now_ms);
                let state = &mut self.vms[vm];
                state.table.confirm(self.now_ms, self.now_ms);
                state.schedule.end_read(self.now_ms, true);
            }
        }
        let is_request_due = (self.now_ms / TICK_MS).is_multiple_of(TICKS_PER_REQUEST);
        if self.vms[vm].ready_ms.is_none() && is_request_due {
            for from in self.sources(vm) {
                let delay_ms = 2 * self.one_way_ms(vm, from);
                self.push(delay_ms, Event::Summary { from, to: vm });
            }
        }
    }

    /// Returns the VMs that a VM without state asks: random peers of its region, or a
    /// random seed before it knows any.
    fn sources(&mut self, vm: usize) -> Vec<usize> {
        if self.now_ms < self.vms[vm].peers_known_ms {
            return vec![self.random.random_range(0..SEED_VMS)];
        }
        let region = self.vms[vm].region;
        let peers: Vec<usize> = (0..self.vms.len())
            .filter(|peer| *peer != vm && self.vms[*peer].region == region)
            .collect();
        peers
            .choose_multiple(&mut self.random, 2)
            .copied()
            .collect()
    }

    fn role(&self, vm: usize) -> gateway::ReaderRole {
        let state = &self.vms[vm];
        let knows_peers = self.now_ms >= state.peers_known_ms;
        let preferred = (0..vm).filter(|peer| self.vms[*peer].region == state.region);
        // The seeds come last by rank, so that the readers are other VMs.
        let preferred = preferred.filter(|peer| knows_peers && !self.vms[*peer].is_seed);
        let preferred_count = preferred.count() as u64;
        gateway::ReaderRole {
            is_reader: gateway::ReaderRole::is_reader_by_rank(self.now_ms, preferred_count, 2),
            is_seed: state.is_seed,
            preferred_count,
        }
    }

    fn read_page(&mut self, vm: usize) {
        self.store_calls.push(self.now_ms);
        let after_key = self.vms[vm].full_read.after_key();
        let begin = after_key.map_or(0, |after_key| {
            self.records
                .partition_point(|record| record.key <= after_key)
        });
        let end = (begin + PAGE_RECORDS).min(self.records.len());
        let has_more = end < self.records.len();
        let page = ports::NewestPage {
            end_offset: self.records.len() as u64,
            entries: self.records[begin..end].to_vec(),
            next_after_key: has_more.then(|| self.records[end - 1].key.clone()),
        };
        let state = &mut self.vms[vm];
        let complete = state.full_read.add_page(page).expect("pages in order");
        if let Some(complete) = complete {
            state.schedule.end_read(self.now_ms, true);
            state.table.confirm(self.now_ms, self.now_ms);
            state.table.apply_newest(self.now_ms, complete);
            self.become_ready(vm);
        } else {
            let delay_ms = self.store_round_trip_ms(vm);
            self.push(delay_ms, Event::PageArrives { vm });
        }
    }

    /// The VM tells three VMs of its region and one of any region.
    fn become_ready(&mut self, vm: usize) {
        self.vms[vm].ready_ms.get_or_insert(self.now_ms);
        if self.now_ms < self.vms[vm].peers_known_ms {
            return;
        }
        let mut receivers = self.sources(vm);
        receivers.extend(self.sources(vm));
        receivers.push(self.random.random_range(0..self.vms.len()));
        for to in receivers {
            let delay_ms = self.one_way_ms(vm, to);
            self.push(delay_ms, Event::Summary { from: vm, to });
        }
    }

    fn handle_summary(&mut self, from: usize, to: usize) {
        if self.vms[from].ready_ms.is_none() || self.vms[to].ready_ms.is_some() {
            return;
        }
        self.vms[to].schedule.record_source(self.now_ms);
        let is_peer_known = self.now_ms >= self.vms[to].peers_known_ms;
        let candidate = gateway::PullCandidate {
            is_newer: true,
            puller: if self.role(to).is_reader || self.vms[to].is_seed {
                gateway::Puller::Reader
            } else {
                gateway::Puller::Starting
            },
            is_same_region: is_peer_known && self.vms[from].region == self.vms[to].region,
        };
        if !self.vms[to].pulls.try_begin(self.now_ms, candidate) {
            return;
        }
        if self.vms[from].session_count >= MAX_SESSIONS {
            self.vms[to].pulls.end_pull(false);
            return;
        }
        self.vms[from].session_count += 1;
        self.cross_region_copies += u64::from(self.vms[from].region != self.vms[to].region);
        let bytes = self.vms[from].table.backends().count() as u64 * ROW_BYTES;
        let took_ms = bytes / (LINK_BYTES_PER_MS / MAX_SESSIONS) + 4 * self.one_way_ms(from, to);
        self.push(took_ms, Event::PullEnds { from, to });
    }

    fn end_pull(&mut self, from: usize, to: usize) {
        self.vms[from].session_count -= 1;
        self.vms[to].pulls.end_pull(true);
        let source = &self.vms[from].table;
        let update = gateway::TableUpdate {
            is_complete: true,
            next_offset: source.next_offset().unwrap_or(0),
            revision: source.revision(),
            rows: source.rows_since(self.now_ms, 0, None, usize::MAX),
        };
        let confirmed_ms = source.confirmed_ms().expect("the source is ready");
        let table = &mut self.vms[to].table;
        table.merge(self.now_ms, update);
        table.confirm(self.now_ms, confirmed_ms);
        self.become_ready(to);
    }

    fn one_way_ms(&self, from: usize, to: usize) -> u64 {
        if self.vms[from].region == self.vms[to].region {
            1
        } else {
            30
        }
    }

    fn store_round_trip_ms(&self, vm: usize) -> u64 {
        if self.vms[vm].region == 0 { 5 } else { 64 }
    }

    fn max_store_calls_per_s(&self) -> usize {
        let calls = &self.store_calls;
        let in_second = calls.iter().map(|begin_ms| {
            let in_second = calls
                .iter()
                .filter(|call_ms| (*begin_ms..begin_ms + 1_000).contains(call_ms));
            in_second.count()
        });
        in_second.max().unwrap_or(0)
    }
}

/// Guards against a fleet that does not serve again after all its VMs were killed:
/// 300 VMs before 3,000 servers each read the registry themselves, 60 pages in one
/// call that timed out after 1.8 s, and pulled it over the link between the regions.
#[test]
fn large_fleet_starts_from_the_store_alone() {
    for (vm_count, server_count) in [(36, 300), (100, 1_000), (293, 481), (300, 3_000)] {
        let mut fleet = Fleet::new(vm_count, server_count, 1);
        fleet.run();
        let mut ready_ms: Vec<u64> = fleet
            .vms
            .iter()
            .map(|vm| vm.ready_ms.unwrap_or(u64::MAX))
            .collect();
        ready_ms.sort_unstable();
        println!(
            "{vm_count} VMs, {server_count} servers: first ready after {} ms, nine in ten after \
             {} ms, all after {} ms; {} store calls, at most {} in a second; {} copies between \
             regions",
            ready_ms[0],
            ready_ms[vm_count * 9 / 10],
            ready_ms[vm_count - 1],
            fleet.store_calls.len(),
            fleet.max_store_calls_per_s(),
            fleet.cross_region_copies,
        );
        assert!(ready_ms[vm_count - 1] < RECOVERY_MS, "{vm_count} VMs");
        let allowed = vm_count * STORE_READS_PER_VM_S;
        assert!(fleet.max_store_calls_per_s() <= allowed, "{vm_count} VMs");
        // Seeds and readers, each at most twice.
        let most_copies = 2 * (SEED_VMS + 2 * REGIONS) as u64;
        assert!(fleet.cross_region_copies <= most_copies, "{vm_count} VMs");
    }
}
