//! Randomised tests of the registry: VMs read the platform's log or pull from each
//! other, with outages, lost history and restarts.

use foxtailwinch::gateway;
use foxtailwinch::ports;
use rand::Rng as _;
use rand::SeedableRng as _;

use crate::fixtures;

const KEYS: u64 = 12;
const VMS: usize = 6;

/// Model of the platform's log of one keyed topic.
#[derive(Default)]
struct Log {
    first_offset: u64,
    is_up: bool,
    newest: indexmap::IndexMap<String, (u64, Result<ports::Backend, String>)>,
    records: Vec<(String, Result<Option<ports::Backend>, String>)>,
}

impl Log {
    fn end_offset(&self) -> u64 {
        self.records.len() as u64
    }

    fn append(&mut self, key: String, value: Result<Option<ports::Backend>, String>) {
        let offset = self.end_offset();
        match value.clone() {
            Ok(None) => {
                self.newest.shift_remove(&key);
            }
            Ok(Some(backend)) => {
                self.newest.insert(key.clone(), (offset, Ok(backend)));
            }
            Err(fault) => {
                self.newest.insert(key.clone(), (offset, Err(fault)));
            }
        }
        self.records.push((key, value));
    }

    fn changes(&self, from: u64, max_count: u64) -> ports::FeedPage<ports::Backend> {
        let until = self.end_offset().min(from + max_count);
        let entries = (from..until).map(|offset| {
            let index = usize::try_from(offset).expect("a short log");
            let (key, value) = self.records[index].clone();
            ports::FeedEntry { key, offset, value }
        });
        ports::FeedPage {
            entries: entries.collect(),
            is_at_end: until == self.end_offset(),
            next_offset: until,
        }
    }

    fn newest_records(&self) -> ports::FeedPage<ports::Backend> {
        let entries = self
            .newest
            .iter()
            .map(|(key, (offset, value))| ports::FeedEntry {
                key: key.clone(),
                offset: *offset,
                value: value.clone().map(Some),
            });
        ports::FeedPage {
            entries: entries.collect(),
            is_at_end: true,
            next_offset: self.end_offset(),
        }
    }

    /// Returns the servers in the newest records, sorted by id.
    fn registered(&self) -> Vec<(String, u64, bool)> {
        let readable = self
            .newest
            .values()
            .filter_map(|(_, value)| value.as_ref().ok());
        sorted(readable)
    }
}

fn sorted<'a>(backends: impl Iterator<Item = &'a ports::Backend>) -> Vec<(String, u64, bool)> {
    let mut registered: Vec<(String, u64, bool)> = backends
        .map(|backend| {
            let is_ready = backend.state == ports::BackendState::Ready;
            (backend.id.clone(), backend.born_unix_ms, is_ready)
        })
        .collect();
    registered.sort();
    registered
}

/// Whether the source of a pull applies changes between its replies.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Source {
    Changing,
    Unchanged,
}

struct Simulation {
    log: Log,
    now_ms: u64,
    random: rand::rngs::SmallRng,
    vms: Vec<gateway::BackendTable>,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        Self {
            log: Log {
                is_up: true,
                ..Log::default()
            },
            now_ms: 0,
            random: rand::rngs::SmallRng::seed_from_u64(seed),
            vms: vec![gateway::BackendTable::default(); VMS],
        }
    }

    fn step(&mut self) {
        self.now_ms += self.random.random_range(1..200);
        match self.random.random_range(0..100) {
            0..25 => self.append(),
            25..50 => {
                let vm = self.random.random_range(0..VMS);
                self.read(vm);
            }
            50..85 => {
                let (to, from) = (
                    self.random.random_range(0..VMS),
                    self.random.random_range(0..VMS),
                );
                self.pull(to, from, Source::Changing);
            }
            85..90 => self.log.is_up = !self.log.is_up,
            90..93 => self.log.first_offset = self.log.end_offset(),
            93..96 => {
                let vm = self.random.random_range(0..VMS);
                self.vms[vm] = gateway::BackendTable::default();
            }
            96 => self.now_ms += 700_000,
            _ => self.tick(),
        }
    }

    fn append(&mut self) {
        let id = format!("s{}", self.random.random_range(0..KEYS));
        let backend = ports::Backend {
            born_unix_ms: self.random.random_range(1..4),
            state: if self.random.random() {
                ports::BackendState::Ready
            } else {
                ports::BackendState::Draining
            },
            ..fixtures::backend(&id)
        };
        let value = match self.random.random_range(0..10) {
            0 => Err("unreadable".to_owned()),
            1..4 => Ok(None),
            _ => Ok(Some(backend)),
        };
        self.log.append(id, value);
    }

    fn read(&mut self, vm: usize) {
        let (now_ms, table) = (self.now_ms, &mut self.vms[vm]);
        if !self.log.is_up {
            table.record_read_failure(now_ms);
            return;
        }
        let max_count = self.random.random_range(1..8);
        match table.next_offset() {
            Some(from) if from >= self.log.first_offset => {
                let page = self.log.changes(from, max_count);
                if page.is_at_end {
                    table.confirm(now_ms, now_ms);
                }
                table.apply_changes(now_ms, page);
            }
            _ => {
                table.confirm(now_ms, now_ms);
                table.apply_newest(now_ms, self.log.newest_records());
            }
        }
    }

    fn pull(&mut self, to: usize, from: usize, source_state: Source) {
        let revision = self.vms[to].revision();
        if to == from || self.vms[from].revision() <= revision {
            return;
        }
        let source = &self.vms[from];
        let needs_full_table = source.needs_full_table(revision);
        let since = if needs_full_table { 0 } else { revision };
        let confirmed_ms = source.confirmed_ms();
        let mut update = gateway::TableUpdate {
            is_complete: needs_full_table,
            next_offset: source.next_offset().unwrap_or(0),
            revision: source.revision(),
            rows: indexmap::IndexMap::new(),
        };
        loop {
            let last_key = update.rows.keys().next_back().cloned();
            let max_count = self.random.random_range(1..=8);
            let source = &self.vms[from];
            let rows = source.rows_since(self.now_ms, since, last_key.as_deref(), max_count);
            let is_last = rows.len() < max_count;
            update.rows.extend(rows);
            if is_last {
                break;
            }
            if source_state == Source::Changing {
                self.append();
                self.read(from);
            }
        }
        let table = &mut self.vms[to];
        table.merge(self.now_ms, update);
        if let Some(confirmed_ms) = confirmed_ms {
            table.confirm(self.now_ms, confirmed_ms);
        }
        assert!(table.revision() >= revision, "a revision never decreases");
    }

    fn tick(&mut self) {
        for table in &mut self.vms {
            table.tick(self.now_ms);
        }
    }

    /// Ends the outage of the store, lets the first `readers` VMs read the complete
    /// log and lets all deferred removals take effect.
    fn recover_store(&mut self, readers: usize) {
        self.log.is_up = true;
        for _ in 0..40 {
            self.now_ms += 500;
            for vm in 0..readers {
                self.read(vm);
            }
            self.tick();
        }
    }
}

fn steps_and_seeds() -> (u64, u64) {
    let setting = |name: &str, default: u64| {
        let value = std::env::var(name).ok();
        value
            .and_then(|value| value.parse().ok())
            .unwrap_or(default)
    };
    (
        setting("REGISTRY_STEPS", 400),
        setting("REGISTRY_SEEDS", 150),
    )
}

/// Guards against VMs that read the store but end with other servers than the
/// log lists, after random outages, lost history and restarts.
#[test]
fn vms_that_read_the_store_agree_with_the_log() {
    let (steps, seeds) = steps_and_seeds();
    for seed in 0..seeds {
        let mut simulation = Simulation::new(seed);
        for _ in 0..steps {
            simulation.step();
        }
        simulation.recover_store(VMS);
        for table in &simulation.vms {
            let known = sorted(table.backends().map(AsRef::as_ref));
            assert_eq!(known, simulation.log.registered(), "seed {seed}");
        }
    }
}

/// Guards against VMs that only pull from peers and end with other servers than
/// the log lists.
#[test]
fn vms_that_pull_agree_with_the_log() {
    let (steps, seeds) = steps_and_seeds();
    for seed in 0..seeds {
        let mut simulation = Simulation::new(seed);
        for _ in 0..steps {
            simulation.step();
        }
        simulation.recover_store(1);
        for vm in 1..VMS {
            simulation.pull(vm, vm - 1, Source::Unchanged);
            let known = sorted(simulation.vms[vm].backends().map(AsRef::as_ref));
            assert_eq!(known, simulation.log.registered(), "seed {seed}, VM {vm}");
        }
    }
}
