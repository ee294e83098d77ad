//! A fleet of VMs on a network that loses, delays, duplicates and reorders
//! messages.

use foxtailwinch::claims;
use foxtailwinch::configs;
use foxtailwinch::verdict;

use crate::ledger;
use crate::message;
use crate::mutant;
use crate::step;
use crate::vm;

const COMPLETION_MS: u64 = 10_000;
/// Offset above the ids of all entry attempts.
const SEARCH_ID_OFFSET: u64 = 1_000;

#[derive(Clone)]
pub struct Fleet {
    pub config: configs::claims::ClaimsConfig,
    pub cuts: indexmap::IndexSet<(usize, usize)>,
    /// Whether duplicate messages are merged, and the ids of home attempts are
    /// derived from those of the entry attempts. An exhaustive search needs
    /// both, because its number of states would otherwise be infinite.
    pub is_exhaustive_search: bool,
    pub keys: Vec<claims::ClaimKey>,
    pub ledger: ledger::Ledger,
    pub mutant: Option<mutant::Mutant>,
    pub network: Vec<message::Envelope>,
    pub next_id: u64,
    pub now_ms: u64,
    pub vms: Vec<vm::Vm>,
}

/// Returns settings so small that tables fill up and epochs end within a run.
pub fn small_config() -> configs::claims::ClaimsConfig {
    configs::claims::ClaimsConfig {
        answer_limit_bytes: 200,
        attempt_limit_requests: 6,
        claim_timeout_ms: 50,
        epoch_ms: 200,
        hand_over_limit_bytes: 500,
        home_limit_keys: 5,
        prefix_lifetime_ms: 200,
        retention_ms: 400,
        seal_timeout_ms: 50,
        witness_limit_keys: 6,
        ..configs::claims::ClaimsConfig::default()
    }
}

impl Fleet {
    pub fn new(config: configs::claims::ClaimsConfig, mutant: Option<mutant::Mutant>) -> Self {
        let vms = (0..step::VM_COUNT).map(|index| vm::Vm::new(&config, index, 1));
        Self {
            cuts: indexmap::IndexSet::new(),
            is_exhaustive_search: false,
            keys: Vec::new(),
            ledger: ledger::Ledger::default(),
            mutant,
            network: Vec::new(),
            next_id: 1,
            now_ms: 0,
            vms: vms.collect(),
            config,
        }
    }

    pub fn apply(&mut self, step: &step::Step) {
        match *step {
            step::Step::Attempt {
                deadline_ms,
                key,
                other_request,
                vm,
            } => {
                if let Some(key) = pick(&self.keys, key).cloned() {
                    self.attempt(vm, &key, u64::from(other_request), deadline_ms);
                }
            }
            step::Step::Cancel { attempt } => self.cancel(attempt),
            step::Step::Cut { from, to } => {
                self.cuts.insert((from, to));
            }
            step::Step::Deliver { keep_copy, message } => self.deliver(message, keep_copy),
            step::Step::HomeFails { attempt, vm } => self.fail_home_connection(vm, attempt),
            step::Step::Finish { outcome, run } => self.finish(run, outcome),
            step::Step::Heal => self.cuts.clear(),
            step::Step::Leave { vm } => self.leave(vm),
            step::Step::DropMessage { message } => {
                if let Some(index) = message.checked_rem(self.network.len()) {
                    self.network.swap_remove(index);
                }
            }
            step::Step::NewKey { home, witness } => self.new_key(home, witness),
            step::Step::AdvanceTime { ms, tick } => self.advance_time(ms, tick),
            step::Step::Pause { vm } => self.vms[vm].paused = true,
            step::Step::Refuse { key } => self.refuse(key),
            step::Step::Restart { vm } => self.restart(vm),
            step::Step::Resume => self.vms.iter_mut().for_each(|vm| vm.paused = false),
        }
    }

    /// Advances time past all deadlines. Every attempt must have a reply by
    /// then.
    pub fn run_to_completion(&mut self) {
        self.vms.iter_mut().for_each(|vm| vm.paused = false);
        self.advance_time(COMPLETION_MS, true);
        if self.ledger.open_attempt_count() > 0 {
            self.ledger.violation = Some("an attempt received no reply".to_owned());
        }
    }

    pub fn new_key(&mut self, home: usize, witness: usize) {
        let prefix = self.vms[home].home.prefix_for(self.vms[witness].identity);
        self.keys.push(claims::ClaimKey {
            caller_key: format!("key{}", self.keys.len()),
            organisation: "duka".to_owned(),
            prefix,
        });
    }

    pub fn attempt(
        &mut self,
        vm: usize,
        key: &claims::ClaimKey,
        fingerprint: u64,
        timeout_ms: u64,
    ) {
        if self.vms[vm].paused {
            return;
        }
        let attempt_id = self.new_id();
        let deadline_ms = self.now_ms + timeout_ms;
        self.ledger.record_attempt(attempt_id, fingerprint, key);
        let key = key.clone();
        if key.prefix.home.peer_address == self.vms[vm].identity.peer_address {
            self.vms[vm].fingerprints.insert(attempt_id, fingerprint);
            let event = claims::HomeEvent::Request {
                attempt_id,
                deadline_ms,
                fingerprint,
                key,
            };
            self.at_home(vm, event);
        } else {
            self.vms[vm]
                .entry_fingerprints
                .insert(attempt_id, fingerprint);
            let event = claims::EntryEvent::Request {
                attempt_id,
                deadline_ms,
                fingerprint,
                key,
            };
            self.at_entry(vm, event);
        }
    }

    fn refuse(&mut self, key: usize) {
        let Some(key) = pick(&self.keys, key).cloned() else {
            return;
        };
        let vm = self.index_of(key.prefix.home);
        if self.vms[vm].paused {
            return;
        }
        let attempt_id = self.new_id();
        self.ledger.record_attempt(attempt_id, 0, &key);
        let refusal = verdict::Refusal::not_run(verdict::RefusalReason::QueueFull, 100);
        if self.mutant == Some(mutant::Mutant::RefusalLeavesOpen) {
            self.ledger.record_refusal(attempt_id, &refusal);
            return;
        }
        self.at_home(
            vm,
            claims::HomeEvent::Refuse {
                attempt_id,
                key,
                refusal,
            },
        );
    }

    fn cancel(&mut self, attempt: usize) {
        let waiting: Vec<(usize, u64)> = (0..self.vms.len())
            .flat_map(|vm| self.vms[vm].fingerprints.keys().map(move |id| (vm, *id)))
            .collect();
        if let Some((vm, attempt_id)) = pick(&waiting, attempt).copied()
            && !self.vms[vm].paused
            && !self.vms[vm].origins.contains_key(&attempt_id)
        {
            self.at_home(vm, claims::HomeEvent::Cancelled { attempt_id });
            self.ledger.forget_attempt(attempt_id);
            self.vms[vm].fingerprints.swap_remove(&attempt_id);
        }
    }

    fn fail_home_connection(&mut self, vm: usize, attempt: usize) {
        let waiting: Vec<u64> = self.vms[vm].entry_fingerprints.keys().copied().collect();
        if let Some(attempt_id) = pick(&waiting, attempt).copied()
            && !self.vms[vm].paused
        {
            self.at_entry(vm, claims::EntryEvent::HomeFailed { attempt_id });
        }
    }

    fn finish(&mut self, run: usize, outcome: u8) {
        let runs: Vec<(usize, usize)> = (0..self.vms.len())
            .flat_map(|vm| (0..self.vms[vm].runs.len()).map(move |run| (vm, run)))
            .collect();
        let Some((vm, run)) = pick(&runs, run).copied() else {
            return;
        };
        if self.vms[vm].paused {
            return;
        }
        let key = self.vms[vm].runs.swap_remove(run);
        let fingerprint = self.ledger.ran_fingerprint(&key);
        let refusal = verdict::Refusal::not_run(verdict::RefusalReason::ServerShed, 100);
        let outcome = match outcome {
            0 => claims::RunOutcome::AnsweredNotStored,
            1 => claims::RunOutcome::NotRun(refusal),
            2 => claims::RunOutcome::MayHaveRun(refusal),
            3 => claims::RunOutcome::Answered(ledger::response_of(&key, fingerprint, 500)),
            _ => claims::RunOutcome::Answered(ledger::response_of(&key, fingerprint, 20)),
        };
        if matches!(outcome, claims::RunOutcome::NotRun(_)) {
            self.ledger.record_proof_of_not_run(&key);
        }
        self.at_home(vm, claims::HomeEvent::Finished { key, outcome });
    }

    fn leave(&mut self, vm: usize) {
        if !self.vms[vm].paused {
            self.vms[vm].leaving = true;
            self.at_home(vm, claims::HomeEvent::Leave);
        }
    }

    pub fn advance_time(&mut self, ms: u64, tick: bool) {
        self.now_ms += ms;
        for vm in 0..self.vms.len() {
            if tick && !self.vms[vm].paused {
                self.at_home(vm, claims::HomeEvent::Tick);
                self.at_entry(vm, claims::EntryEvent::Tick);
                self.at_witness(vm, claims::WitnessEvent::Tick, None);
            }
        }
        if self.mutant == Some(mutant::Mutant::EvictionForgets) && ms > self.config.epoch_ms {
            for vm in &mut self.vms {
                vm.home = claims::Home::new(&self.config, vm.identity);
            }
        }
    }

    pub fn restart(&mut self, vm: usize) {
        let old = &self.vms[vm];
        let lost: Vec<u64> = old
            .fingerprints
            .keys()
            .chain(old.entry_fingerprints.keys())
            .copied()
            .collect();
        for attempt_id in lost {
            self.ledger.forget_attempt(attempt_id);
        }
        let incarnation = self.vms[vm].identity.incarnation + 1;
        self.vms[vm] = vm::Vm::new(&self.config, vm, incarnation);
    }

    pub fn send(&mut self, from: usize, to: usize, message: message::Message) {
        let envelope = message::Envelope { from, message, to };
        let is_duplicate = self.is_exhaustive_search && self.network.contains(&envelope);
        if !self.cuts.contains(&(from, to)) && !is_duplicate {
            self.network.push(envelope);
        }
    }

    pub fn index_of(&self, identity: claims::VmIdentity) -> usize {
        let address = identity.peer_address;
        let found = self
            .vms
            .iter()
            .position(|vm| vm.identity.peer_address == address);
        found.expect("the address must belong to the fleet")
    }

    pub fn home_attempt_id(&mut self, entry_attempt_id: u64) -> u64 {
        if self.is_exhaustive_search {
            return SEARCH_ID_OFFSET + entry_attempt_id;
        }
        self.new_id()
    }

    pub fn new_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }
}

fn pick<T>(items: &[T], index: usize) -> Option<&T> {
    items.get(index.checked_rem(items.len())?)
}
