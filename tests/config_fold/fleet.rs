//! Simulated entry VMs in virtual time, which read a fake log and pull from each
//! other.

#[path = "maintenance.rs"]
mod maintenance;
#[path = "network.rs"]
mod network;

use std::collections;

use foxtailwinch::config_fold;
use foxtailwinch::configs;
use foxtailwinch::log_client;
use rand::SeedableRng as _;

use crate::fixtures;

pub const STEP_MS: u64 = 50;
pub const RETENTION_MS: u64 = 40_000;
/// Time within which a rolled-out bundle is in force on every connected VM, in
/// milliseconds.
const IN_FORCE_LIMIT_MS: u64 = 12_000;
const CHECKPOINT_CHECK_PERIOD_MS: u64 = 1_000;
/// Probability of a heartbeat in each step. With steps of 50 ms, this is about one
/// heartbeat per second.
const HEARTBEAT_PROBABILITY: f64 = 0.05;
const MEMBERSHIP_REFRESH_PERIOD_MS: u64 = 3_000;
const VM_COUNT: u64 = 12;

/// Message in transit.
enum Message {
    LogResponse(log_client::LogBatch),
    LogFailed,
    Offset(String, u64),
    Pull {
        from: u64,
        limit_bytes: usize,
        peer: String,
    },
    Batch(String, config_fold::RecordBatch),
}

pub struct Vm {
    checked_offset: usize,
    checkpoints: config_fold::CheckpointScheduler,
    in_force_offset: Option<u64>,
    member: config_fold::ReplicationMember,
    pub replicator: config_fold::Replicator,
    started_ms: u64,
}

/// Roll-out that must be in force on every VM at `at_ms`.
struct DueRollOut {
    at_ms: u64,
    offset: u64,
}

pub struct Fleet {
    /// Number of records that were sent from one region to the other.
    pub cross_region_record_count: usize,
    due_roll_outs: Vec<DueRollOut>,
    first_offset: u64,
    last_fault_ms: u64,
    log_down_until_ms: u64,
    messages: collections::BTreeMap<(u64, u64), (String, Message)>,
    next_id: u64,
    pub now_ms: u64,
    random: rand::rngs::SmallRng,
    records: Vec<config_fold::LogRecord>,
    reference: config_fold::ConfigFold,
    regions_partitioned_until_ms: u64,
    /// Offset of the newest roll-out that every VM has had in force. A VM that
    /// becomes ready must not serve an older one.
    min_served_offset: Option<u64>,
    states: Vec<config_fold::FoldState>,
    pub step_ms: u64,
    pub vms: indexmap::IndexMap<String, Vm>,
}

impl Fleet {
    pub fn new(seed: u64) -> Self {
        Self::with_vms(seed, VM_COUNT)
    }

    pub fn with_vms(seed: u64, vm_count: u64) -> Self {
        let mut fleet = Self {
            cross_region_record_count: 0,
            due_roll_outs: Vec::new(),
            first_offset: 0,
            last_fault_ms: 0,
            log_down_until_ms: 0,
            messages: collections::BTreeMap::new(),
            next_id: 0,
            now_ms: 0,
            random: rand::rngs::SmallRng::seed_from_u64(seed),
            records: Vec::new(),
            reference: config_fold::ConfigFold::new(configs::ConfigFoldConfig::default()),
            regions_partitioned_until_ms: 0,
            min_served_offset: None,
            states: vec![config_fold::FoldState::default()],
            step_ms: STEP_MS,
            vms: indexmap::IndexMap::new(),
        };
        for number in 0..vm_count {
            fleet.start_vm(number);
        }
        fleet
    }

    /// Appends a record and returns its offset, or `None` while the log is down.
    pub fn append(&mut self, record_id: &str, body: config_fold::RecordBody) -> Option<u64> {
        self.append_raw(fixtures::body(record_id, body))
    }

    pub fn append_raw(&mut self, body: String) -> Option<u64> {
        if self.now_ms < self.log_down_until_ms {
            return None;
        }
        let offset = self.records.len() as u64;
        let record = config_fold::LogRecord {
            appended_unix_ms: self.now_ms,
            body,
            offset,
        };
        for event in self.reference.apply(&record) {
            if let config_fold::FoldEvent::BundleInForce { offset, .. } = event {
                let at_ms = self.now_ms + IN_FORCE_LIMIT_MS;
                self.due_roll_outs.push(DueRollOut { at_ms, offset });
            }
        }
        self.states.push(self.reference.snapshot());
        self.records.push(record);
        Some(offset)
    }

    pub fn version_in_force(&self) -> Option<String> {
        let in_force = self.reference.in_force();
        in_force.map(|in_force| in_force.version.clone())
    }

    pub fn interrupt_log(&mut self, duration_ms: u64) {
        self.log_down_until_ms = self.log_down_until_ms.max(self.now_ms + duration_ms);
    }

    pub fn partition_regions(&mut self, duration_ms: u64) {
        self.regions_partitioned_until_ms = self
            .regions_partitioned_until_ms
            .max(self.now_ms + duration_ms);
    }

    /// Replaces a VM, unless it alone has records that the log no longer keeps.
    pub fn replace(&mut self, index: usize) {
        let index = index % self.vms.len();
        let next_offset = |vm: &Vm| vm.replicator.fold().next_offset();
        let own = next_offset(&self.vms[index]);
        let others = self.vms.values().enumerate();
        let is_replicated = others
            .filter(|(other, _)| *other != index)
            .any(|(_, vm)| vm.replicator.is_ready() && next_offset(vm) >= own);
        if is_replicated || self.is_log_sufficient() {
            self.replace_vm_at(index);
        }
    }

    fn replace_vm_at(&mut self, index: usize) {
        if let Some((_, removed)) = self.vms.shift_remove_index(index) {
            self.start_vm(vm_number(&removed.member));
        }
    }

    /// Replaces every VM at once, unless records would be lost that the log no longer
    /// keeps.
    pub fn replace_all(&mut self) {
        if self.is_log_sufficient() {
            for _ in 0..self.vms.len() {
                self.replace_vm_at(0);
            }
        }
    }

    /// Returns whether the kept records of the log are sufficient to reach its end.
    pub fn is_log_sufficient(&self) -> bool {
        let mut fresh = config_fold::ConfigFold::new(configs::ConfigFoldConfig::default());
        for record in self.kept_records() {
            fresh.apply(record);
        }
        fresh.next_offset() == self.reference.next_offset()
    }

    /// Sends a VM an offset that no peer has reached.
    pub fn forge_offset(&mut self, index: usize, next_offset: u64) {
        let ids: Vec<String> = self.vms.keys().cloned().collect();
        let to = ids[index % ids.len()].clone();
        let sender = ids[(index + 1) % ids.len()].clone();
        self.send(to, Message::Offset(sender, next_offset));
    }

    /// Sends a VM a batch that continues a different history than the log's.
    pub fn forge_batch(&mut self, index: usize) {
        let ids: Vec<String> = self.vms.keys().cloned().collect();
        let to = &ids[index % ids.len()];
        let peer = &ids[(index + 1) % ids.len()];
        let offset = self.vms[to].replicator.fold().next_offset();
        let forged = config_fold::LogRecord {
            appended_unix_ms: self.now_ms,
            body: fixtures::body("forged", fixtures::signed_off("forged")),
            offset,
        };
        let batch = config_fold::RecordBatch {
            content: config_fold::BatchContent::Records {
                chain_digest_before: "0".repeat(64),
                first_offset: offset,
                records: vec![forged],
            },
            next_offset: offset + 1,
        };
        self.send(to.clone(), Message::Batch(peer.clone(), batch));
    }

    pub fn run(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            self.now_ms += self.step_ms;
            self.step();
        }
    }

    /// Runs until all faults are over and all roll-outs must be in force on every VM,
    /// then checks this.
    pub fn converge(&mut self) {
        let faults_end_ms = self
            .log_down_until_ms
            .max(self.regions_partitioned_until_ms);
        self.run(faults_end_ms.saturating_sub(self.now_ms) + IN_FORCE_LIMIT_MS);
        assert!(
            self.is_log_sufficient(),
            "a checkpoint covers the expired records"
        );
        let expected = self.reference.in_force();
        for (id, vm) in &self.vms {
            assert_eq!(
                vm.replicator.fold().in_force(),
                expected,
                "{id} has the bundle in force"
            );
        }
    }

    fn step(&mut self) {
        if self.now_ms
            < self
                .log_down_until_ms
                .max(self.regions_partitioned_until_ms)
        {
            self.last_fault_ms = self.now_ms;
        }
        self.expire();
        while let Some(entry) = self.messages.first_entry() {
            if entry.key().0 > self.now_ms {
                break;
            }
            let (to, message) = entry.remove();
            self.deliver(&to, message);
        }
        let ids: Vec<String> = self.vms.keys().cloned().collect();
        for id in &ids {
            self.handle(id, config_fold::ReplicationEvent::Tick);
            self.heartbeat(id, &ids);
            if self.now_ms.is_multiple_of(CHECKPOINT_CHECK_PERIOD_MS) {
                self.checkpoint(id);
            }
        }
        if self.now_ms.is_multiple_of(MEMBERSHIP_REFRESH_PERIOD_MS) {
            self.refresh_membership(&ids);
        }
        self.check_due_roll_outs();
    }

    /// Returns whether every VM has the bundle in force that the log determines.
    pub fn has_converged(&self) -> bool {
        let expected = self.reference.in_force();
        let mut vms = self.vms.values();
        vms.all(|vm| vm.replicator.fold().in_force() == expected)
    }

    pub fn record_count(&self) -> usize {
        self.records.len()
    }
}

fn vm_number(member: &config_fold::ReplicationMember) -> u64 {
    let number = member.id.split('-').nth(1);
    number
        .and_then(|number| number.parse().ok())
        .expect("a VM number")
}
