//! The witness: grants claims, and seals keys whose home does not reply.

use std::collections;
use std::fmt;
use std::net;

use crate::claims;
use crate::claims::grouped_table;
use crate::claims::witness_group;
use crate::claims::witness_record;
use crate::configs;
use crate::state_machine;

/// Witness of every key whose prefix names this incarnation of this VM.
///
/// The witness never runs a key. It never seals a granted key and never grants
/// a sealed one.
///
/// The keys of a home are evicted by epoch, oldest first. An eviction raises
/// the low-water mark of the home's address. Below the mark, claims are denied
/// and the reply to a seal is "may have run". This requires the incarnation of a
/// home to grow with every start. If it does not grow, the claims of the home
/// are denied, which is safe.
#[derive(Clone)]
pub struct Witness {
    config: configs::claims::ClaimsConfig,
    evictions: collections::BTreeSet<(u64, witness_group::WitnessGroup)>,
    identity: claims::VmIdentity,
    last_used_ms: indexmap::IndexMap<witness_group::WitnessGroup, u64>,
    low_water: indexmap::IndexMap<net::SocketAddr, (u64, u64)>,
    now_ms: u64,
    table: grouped_table::GroupedTable<witness_group::WitnessGroup, witness_record::WitnessRecord>,
}

impl Witness {
    /// Creates the witness of a VM that has just started.
    #[must_use]
    pub fn new(config: &configs::claims::ClaimsConfig, identity: claims::VmIdentity) -> Self {
        Self {
            config: config.clone(),
            evictions: collections::BTreeSet::new(),
            identity,
            last_used_ms: indexmap::IndexMap::new(),
            low_water: indexmap::IndexMap::new(),
            now_ms: 0,
            table: grouped_table::GroupedTable::new(),
        }
    }

    /// Returns the number of stored keys.
    #[must_use]
    pub const fn key_count(&self) -> usize {
        self.table.key_count()
    }

    /// Returns the estimated memory of the stored keys and responses.
    #[must_use]
    pub const fn size_bytes(&self) -> usize {
        self.table.size_bytes()
    }

    /// Returns when the next [`claims::WitnessEvent::Tick`] is due; `None` if
    /// no key is stored.
    #[must_use]
    pub fn next_wakeup_ms(&self) -> Option<u64> {
        self.evictions.first().map(|(due_ms, _)| *due_ms)
    }

    fn handle_claim(&mut self, key: claims::ClaimKey) -> claims::ClaimReply {
        let group = group_of(&key);
        if !self.retains(&key) {
            return claims::ClaimReply::Denied;
        }
        match self.table.get(group, &key) {
            None if self.has_room_for(group) => {
                self.insert(group, key, witness_record::WitnessRecord::Granted);
                claims::ClaimReply::Granted
            }
            // Duplicate claim: the home ignores all grants but the first.
            Some(witness_record::WitnessRecord::Granted) => claims::ClaimReply::Granted,
            None
            | Some(
                witness_record::WitnessRecord::Answered(_) | witness_record::WitnessRecord::Sealed,
            ) => claims::ClaimReply::Denied,
        }
    }

    fn handle_seal(&mut self, key: claims::ClaimKey) -> claims::SealReply {
        let group = group_of(&key);
        if !self.retains(&key) {
            return claims::SealReply::MayHaveRun;
        }
        match self.table.get(group, &key) {
            None if self.has_room_for(group) => {
                self.insert(group, key, witness_record::WitnessRecord::Sealed);
                claims::SealReply::NotRun
            }
            Some(witness_record::WitnessRecord::Sealed) => claims::SealReply::NotRun,
            Some(witness_record::WitnessRecord::Answered(response)) => {
                claims::SealReply::Answer(response.clone())
            }
            None | Some(witness_record::WitnessRecord::Granted) => claims::SealReply::MayHaveRun,
        }
    }

    fn handle_hand_over(&mut self, entry: claims::HandOverEntry) {
        let claims::HandOverEntry { key, outcome } = entry;
        let group = group_of(&key);
        if !self.retains(&key) {
            return;
        }
        let limit_bytes = self.config.witness_limit_bytes;
        let fits = self.table.size_bytes() + outcome.response_bytes() <= limit_bytes;
        let new_record = match outcome {
            claims::KeyOutcome::Answered(response) if fits => {
                witness_record::WitnessRecord::Answered(response)
            }
            claims::KeyOutcome::Answered(_) | claims::KeyOutcome::MayHaveRun => {
                witness_record::WitnessRecord::Granted
            }
            claims::KeyOutcome::Closed => witness_record::WitnessRecord::Sealed,
        };
        let response_bytes = new_record.response_bytes();
        let has_room = self.has_room_for(group);
        match self.table.get_mut(group, &key) {
            None if has_room => self.insert(group, key, new_record),
            Some(record @ witness_record::WitnessRecord::Granted) => *record = new_record,
            Some(record @ witness_record::WitnessRecord::Sealed)
                if !matches!(new_record, witness_record::WitnessRecord::Sealed) =>
            {
                // The home contradicts the seal. "May have run" is the safe
                // verdict.
                *record = witness_record::WitnessRecord::Granted;
                return;
            }
            None | Some(_) => return,
        }
        self.table.add_response_bytes(response_bytes);
    }

    /// Returns whether the key names this incarnation of this VM and is not
    /// evicted.
    fn retains(&self, key: &claims::ClaimKey) -> bool {
        let group = group_of(key);
        let low_water = self.low_water.get(&group.home_address);
        key.prefix.witness == self.identity
            && low_water.is_none_or(|mark| group.generation >= *mark)
    }

    fn has_room_for(&self, group: witness_group::WitnessGroup) -> bool {
        let knows_home = self.low_water.contains_key(&group.home_address);
        self.table.key_count() < self.config.witness_limit_keys
            && self.table.size_bytes() < self.config.witness_limit_bytes
            && (knows_home || self.low_water.len() < self.config.witness_limit_homes)
    }

    fn insert(
        &mut self,
        group: witness_group::WitnessGroup,
        key: claims::ClaimKey,
        record: witness_record::WitnessRecord,
    ) {
        self.low_water.entry(group.home_address).or_default();
        if self.last_used_ms.insert(group, self.now_ms).is_none() {
            self.evictions
                .insert((self.eviction_due_ms(self.now_ms), group));
        }
        self.table.insert(group, key, record);
    }

    const fn eviction_due_ms(&self, last_used_ms: u64) -> u64 {
        let retained_ms = self
            .config
            .prefix_lifetime_ms
            .saturating_add(self.config.retention_ms);
        last_used_ms.saturating_add(retained_ms)
    }

    fn run_timers(&mut self) {
        while let Some((due_ms, group)) = self.evictions.first().copied() {
            if due_ms > self.now_ms {
                return;
            }
            self.evictions.pop_first();
            let last_used_ms = self.latest_use_ms(group);
            let eviction_due_ms = self.eviction_due_ms(last_used_ms);
            if eviction_due_ms > self.now_ms {
                self.evictions.insert((eviction_due_ms, group));
            } else {
                self.evict(group);
            }
        }
    }

    /// Returns the latest use of the group or of an older group of the same
    /// home. Older groups count because they must be evicted first.
    fn latest_use_ms(&self, group: witness_group::WitnessGroup) -> u64 {
        let oldest = witness_group::WitnessGroup {
            generation: (0, 0),
            ..group
        };
        self.table
            .group_range(oldest..=group)
            .filter_map(|older| self.last_used_ms.get(older))
            .copied()
            .max()
            .unwrap_or(0)
    }

    fn evict(&mut self, group: witness_group::WitnessGroup) {
        let (incarnation, epoch) = group.generation;
        let mark = (incarnation, epoch.saturating_add(1));
        let low_water = self.low_water.entry(group.home_address).or_default();
        *low_water = (*low_water).max(mark);
        self.last_used_ms.swap_remove(&group);
        self.table
            .evict(group, witness_record::WitnessRecord::response_bytes);
    }
}

impl fmt::Debug for Witness {
    /// Formats the state without the settings.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Witness")
            .field("evictions", &self.evictions)
            .field("low_water", &self.low_water)
            .field("now_ms", &self.now_ms)
            .field("table", &self.table)
            .field("last_used_ms", &self.last_used_ms)
            .finish_non_exhaustive()
    }
}

impl state_machine::StateMachine for Witness {
    type Action = claims::WitnessAction;
    type Event = claims::WitnessEvent;

    fn handle(&mut self, now_ms: u64, event: claims::WitnessEvent) -> Vec<claims::WitnessAction> {
        self.now_ms = self.now_ms.max(now_ms);
        self.run_timers();
        match event {
            claims::WitnessEvent::Claim { claim, message_id } => {
                let reply = self.handle_claim(claim.key);
                vec![claims::WitnessAction::ReplyClaim { message_id, reply }]
            }
            claims::WitnessEvent::HandOver { batch } => {
                batch
                    .entries
                    .into_iter()
                    .for_each(|entry| self.handle_hand_over(entry));
                Vec::new()
            }
            claims::WitnessEvent::Seal { message_id, seal } => {
                let reply = self.handle_seal(seal.key);
                vec![claims::WitnessAction::ReplySeal { message_id, reply }]
            }
            claims::WitnessEvent::Tick => Vec::new(),
        }
    }
}

const fn group_of(key: &claims::ClaimKey) -> witness_group::WitnessGroup {
    witness_group::WitnessGroup {
        generation: (key.prefix.home.incarnation, key.prefix.home_epoch),
        home_address: key.prefix.home.peer_address,
    }
}
