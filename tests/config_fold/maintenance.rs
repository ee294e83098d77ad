//! Periodic activities of the simulated VMs and the log, and checks in each step.

use foxtailwinch::config_fold;
use foxtailwinch::configs;
use rand::Rng as _;
use rand::SeedableRng as _;

use crate::fleet;

impl fleet::Fleet {
    pub(super) fn checkpoint(&mut self, id: &str) {
        let vm = &mut self.vms[id];
        let fold = vm.replicator.fold();
        let age_ms = self.now_ms - fold.state().oldest_needed_unix_ms;
        let rank = vm.replicator.rank();
        if fold.next_offset() == 0 || !vm.checkpoints.is_due(self.now_ms, rank, age_ms) {
            return;
        }
        let body = fold.checkpoint().expect("at least one record is applied");
        let is_cut_off =
            self.now_ms < self.regions_partitioned_until_ms && vm.member.region != "pwani";
        if !is_cut_off {
            let record_id = format!("checkpoint-{id}-{}", self.now_ms);
            self.append(&record_id, body);
        }
    }

    pub(super) fn refresh_membership(&mut self, ids: &[String]) {
        let members: Vec<_> = self.vms.values().map(|vm| vm.member.clone()).collect();
        for id in ids {
            let members = members.clone();
            self.handle(
                id,
                config_fold::ReplicationEvent::MembershipChanged(members),
            );
        }
    }

    /// Removes the records that are older than the retention. Records that no VM
    /// has read yet are kept: if the log lost them, no VM could continue.
    pub(super) fn expire(&mut self) {
        let folded = self
            .vms
            .values()
            .map(|vm| vm.replicator.fold().next_offset());
        let limit = folded.max().unwrap_or(0);
        let is_expired = |record: &config_fold::LogRecord| {
            record.appended_unix_ms + fleet::RETENTION_MS < self.now_ms && record.offset < limit
        };
        while let Some(record) = self
            .records
            .get(usize::try_from(self.first_offset).unwrap())
            && is_expired(record)
        {
            self.first_offset += 1;
        }
    }

    pub(super) fn kept_records(&self) -> impl Iterator<Item = &config_fold::LogRecord> {
        self.records
            .iter()
            .skip(usize::try_from(self.first_offset).unwrap())
    }

    pub(super) fn start_vm(&mut self, number: u64) {
        let id = format!("vm-{number}-{}", self.next_id);
        self.next_id += 1;
        let member = config_fold::ReplicationMember {
            availability_zone: format!("zone-{}", number % 4),
            id: id.clone(),
            region: if number % 4 < 2 { "pwani" } else { "kaskazini" }.to_owned(),
        };
        let mut random = rand::rngs::SmallRng::seed_from_u64(self.random.random());
        let config = configs::CheckpointConfig {
            retention_ms: fleet::RETENTION_MS,
            ..configs::CheckpointConfig::default()
        };
        let checkpoints = config_fold::CheckpointScheduler::new(config, &mut random);
        let fold = config_fold::ConfigFold::new(configs::ConfigFoldConfig {
            // Small, so that peers send checkpoints as well as records.
            tail_limit_bytes: 6_000,
            ..configs::ConfigFoldConfig::default()
        });
        let config = configs::ReplicationConfig::default();
        let replicator = config_fold::Replicator::new(config, member.clone(), fold, random);
        let vm = fleet::Vm {
            checked_offset: 0,
            checkpoints,
            in_force_offset: None,
            member,
            replicator,
            started_ms: self.now_ms,
        };
        self.vms.insert(id.clone(), vm);
        let members: Vec<_> = self.vms.values().map(|vm| vm.member.clone()).collect();
        self.handle(
            &id,
            config_fold::ReplicationEvent::MembershipChanged(members),
        );
    }

    /// Checks that the VM has the state that the log determines at its offset, and
    /// that its bundle in force does not revert to an older roll-out.
    pub(super) fn check_vm(&mut self, id: &str) {
        let vm = &mut self.vms[id];
        let fold = vm.replicator.fold();
        let offset = usize::try_from(fold.next_offset()).unwrap();
        if vm.checked_offset != offset {
            vm.checked_offset = offset;
            assert!(
                offset < self.states.len(),
                "{id} has applied only records of the log"
            );
            assert_eq!(
                fold.state(),
                &self.states[offset],
                "state of {id} at offset {offset}"
            );
        }
        let in_force_offset = fold.in_force().map(|in_force| in_force.offset);
        assert!(
            in_force_offset >= vm.in_force_offset,
            "{id} reverted to an older roll-out"
        );
        vm.in_force_offset = in_force_offset;
    }

    pub(super) fn check_due_roll_outs(&mut self) {
        let now_ms = self.now_ms;
        let due = self.due_roll_outs.extract_if(.., |due| due.at_ms <= now_ms);
        for due in due.collect::<Vec<_>>() {
            let since_ms = due.at_ms - fleet::IN_FORCE_LIMIT_MS;
            if self.last_fault_ms >= since_ms {
                continue;
            }
            for (id, vm) in self.vms.iter().filter(|(_, vm)| vm.started_ms <= since_ms) {
                let offset = vm.in_force_offset;
                assert!(
                    offset >= Some(due.offset),
                    "{id} lacks the roll-out at offset {} at {now_ms} ms",
                    due.offset
                );
            }
            self.min_served_offset = self.min_served_offset.max(Some(due.offset));
        }
    }
}
