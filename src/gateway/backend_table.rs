//! This VM's copy of the registry of backend servers.

mod restored_store;

use std::sync;

use crate::gateway;
use crate::gateway::backend_row;
use crate::ports;

/// Time without a successful read that counts as an outage of the store, in
/// milliseconds. A reader reads the store several times in this time.
const OUTAGE_GAP_MS: u64 = 2_000;
/// Time that servers have to register again after an outage of the store, in
/// milliseconds. The platform guarantees two seconds.
const REGISTRATION_GRACE_MS: u64 = 2_000;
/// Time for which the row of a removed key is kept, so that other VMs can pull
/// the removal, in milliseconds. A VM that is further behind pulls the full
/// table.
const REMOVAL_RETENTION_MS: u64 = 600_000;

/// This VM's copy of the registry of backend servers.
///
/// Rows come from the store or from other VMs. Of two rows of one key, the row
/// with the higher revision is valid. Servers that the store dropped during an
/// outage stay in use until they have had time to register again.
#[derive(Clone, Debug, Default)]
pub struct BackendTable {
    revision: u64,
    confirmed_ms: Option<u64>,
    last_read_failure_ms: Option<u64>,
    grace_until_ms: u64,
    /// Revision as of which the complete table was read or pulled. Removals before it may
    /// lack rows, and earlier rows and records say nothing new.
    compacted_revision: u64,
    /// Rows that are shown as before, by key, since their records are older ones.
    holds: indexmap::IndexMap<String, restored_store::Hold>,
    /// Incarnations of servers that were removed, each with the time in milliseconds.
    removed_ms: indexmap::IndexMap<u64, u64>,
    /// Time until which records of the store may be older ones, in milliseconds.
    restored_until_ms: u64,
    next_offset: u64,
    outdated_row_count: u64,
    rows: indexmap::IndexMap<String, backend_row::BackendRow>,
}

impl BackendTable {
    /// Returns the revision of the table: the offset after its newest change, or 0
    /// before the first change.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the offset from which to read changes next; `None` before the table
    /// is known to be complete for the first time.
    #[must_use]
    pub const fn next_offset(&self) -> Option<u64> {
        if self.confirmed_ms.is_none() {
            return None;
        }
        Some(self.next_offset)
    }

    /// Returns when the table was last known to be complete, in milliseconds of this
    /// VM's clock; `None` if it never was.
    #[must_use]
    pub const fn confirmed_ms(&self) -> Option<u64> {
        self.confirmed_ms
    }

    /// Returns how many rows and records were ignored since the last call because the
    /// table was ahead of them.
    pub const fn take_outdated_row_count(&mut self) -> u64 {
        std::mem::replace(&mut self.outdated_row_count, 0)
    }

    /// Returns the registered servers.
    pub fn backends(&self) -> impl Iterator<Item = &sync::Arc<ports::Backend>> {
        let rows = self.rows.iter();
        rows.filter_map(|(key, row)| self.shown(key, row))
    }

    /// Returns up to `max_count` rows that changed after a revision, in the order of
    /// their keys, from the first key after `after_key` on.
    #[must_use]
    pub fn rows_since(
        &self,
        now_ms: u64,
        revision: u64,
        after_key: Option<&str>,
        max_count: usize,
    ) -> indexmap::IndexMap<String, backend_row::BackendRow> {
        let newer = self.rows.iter().filter(|(key, row)| {
            row.revision > revision && after_key.is_none_or(|after_key| key.as_str() > after_key)
        });
        let mut newer: Vec<(&String, &backend_row::BackendRow)> = newer.collect();
        newer.sort_unstable_by_key(|(key, _)| *key);
        newer.truncate(max_count);
        let rows = newer.into_iter();
        rows.map(|(key, row)| (key.clone(), row.as_of(now_ms)))
            .collect()
    }

    /// Records that the table was complete at `confirmed_ms`.
    ///
    /// The first confirmation after an outage of the store starts the time in which
    /// servers can register again.
    pub fn confirm(&mut self, now_ms: u64, confirmed_ms: u64) {
        let last_ms = self.confirmed_ms.unwrap_or(confirmed_ms);
        let has_failed = self
            .last_read_failure_ms
            .is_some_and(|failed_ms| failed_ms > last_ms);
        if has_failed && confirmed_ms.saturating_sub(last_ms) > OUTAGE_GAP_MS {
            self.grace_until_ms = now_ms + REGISTRATION_GRACE_MS;
        }
        self.confirmed_ms = Some(last_ms.max(confirmed_ms));
    }

    /// Records that a read of the store failed on this VM or on another one.
    pub fn record_read_failure(&mut self, now_ms: u64) {
        self.last_read_failure_ms = Some(now_ms);
    }

    /// Applies changes that were read from the store and returns those that took
    /// effect or were deferred.
    ///
    /// The read may have begun before rows that are further ahead were pulled. What its
    /// records say is then known, or has changed since.
    pub fn apply_changes(
        &mut self,
        now_ms: u64,
        page: ports::FeedPage<ports::Backend>,
    ) -> Vec<gateway::BackendChange> {
        let known_offset = self.next_offset;
        let mut changes = Vec::new();
        for entry in page.entries {
            if entry.offset < known_offset {
                self.outdated_row_count += 1;
            } else {
                changes.extend(self.apply(now_ms, entry));
            }
        }
        self.next_offset = self.next_offset.max(page.next_offset);
        changes
    }

    /// Applies the newest records of all keys. Keys without a record are removed.
    ///
    /// If the store has returned from an older copy, some records are older than the rows,
    /// and some are missing. Until the servers have had time to write them again, no row
    /// goes back, and no server is removed.
    pub fn apply_newest(
        &mut self,
        now_ms: u64,
        page: ports::FeedPage<ports::Backend>,
    ) -> Vec<gateway::BackendChange> {
        if self.note_era(now_ms, page.next_offset) {
            self.grace_until_ms = self.grace_until_ms.max(self.restored_until_ms);
        }
        // The read may have begun before rows that are further ahead were pulled.
        if page.next_offset < self.next_offset.max(self.compacted_revision) {
            self.outdated_row_count += page.entries.len() as u64;
            return Vec::new();
        }
        // The records do not include removals of keys that are not in the table,
        // so VMs with an earlier revision must pull the full table.
        self.compacted_revision = self.compacted_revision.max(page.next_offset);
        self.revision = self.revision.max(page.next_offset);
        let revision = self.revision;
        let listed_keys: indexmap::IndexSet<&String> =
            page.entries.iter().map(|entry| &entry.key).collect();
        let removed_offset = page.next_offset.saturating_sub(1);
        let missing: Vec<String> = self
            .rows
            .iter()
            .filter(|(key, row)| row.revision <= page.next_offset && !listed_keys.contains(key))
            .map(|(key, _)| key.clone())
            .collect();
        let mut changes: Vec<gateway::BackendChange> = missing
            .into_iter()
            .filter_map(|key| {
                let entry = ports::FeedEntry {
                    key,
                    offset: removed_offset,
                    value: Ok(None),
                };
                self.apply(now_ms, entry)
            })
            .collect();
        for entry in page.entries {
            let (key, entry_revision) = (entry.key.clone(), entry.offset + 1);
            changes.extend(self.apply(now_ms, entry));
            if entry_revision > page.next_offset {
                // Other VMs may have read a removal before this record.
                self.raise_row_revision(&key, entry_revision);
            }
        }
        self.next_offset = page.next_offset;
        // Records of later pages may be newer than changes of keys of earlier pages, which
        // are still to be read.
        self.revision = revision;
        changes
    }

    /// Returns whether a VM at this revision must pull the full table, because
    /// removals since then are no longer in the rows.
    #[must_use]
    pub const fn needs_full_table(&self, revision: u64) -> bool {
        revision < self.compacted_revision
    }

    /// Merges rows of another VM, whose state may be older than this table.
    pub fn merge(
        &mut self,
        now_ms: u64,
        update: gateway::TableUpdate,
    ) -> Vec<gateway::BackendChange> {
        let mut changes = Vec::new();
        // The store may have returned from an older copy while the rows were sent.
        let newest_revision = update.rows.values().map(|row| row.revision).max();
        self.note_era(now_ms, newest_revision.unwrap_or(0).max(update.revision));
        let full_table_revision = update.is_complete.then_some(update.revision);
        let full_table_revision =
            full_table_revision.filter(|revision| *revision >= self.compacted_revision);
        let known_as_of = if full_table_revision.is_some() {
            0
        } else {
            self.compacted_revision
        };
        let rows = update.rows;
        if let Some(full_table_revision) = full_table_revision {
            self.compacted_revision = self.compacted_revision.max(full_table_revision);
            self.revision = self.revision.max(full_table_revision);
            let unlisted = self.rows.iter().filter(|(key, row)| {
                let is_gone = rows.get(*key).is_none_or(|other| other.backend.is_none());
                row.revision <= full_table_revision && row.backend.is_some() && is_gone
            });
            let unlisted: Vec<String> = unlisted.map(|(key, _)| key.clone()).collect();
            for key in unlisted {
                changes.extend(self.apply(
                    now_ms,
                    ports::FeedEntry {
                        key,
                        offset: full_table_revision.saturating_sub(1),
                        value: Ok(None),
                    },
                ));
            }
        }
        for (key, mut row) in rows {
            let known = self.rows.get(&key);
            if row.removal_due_in_ms.is_some() {
                self.keep_known_end(&key, &mut row);
            }
            let known_revision = known.map_or(0, |known| known.revision);
            // A full table replaces every row up to its revision; a single row
            // replaces only an older one.
            let is_covered = full_table_revision
                .is_some_and(|full_table_revision| known_revision <= full_table_revision);
            let is_newer = row.revision > known_revision;
            let confirms_removal = known.is_some_and(|known| known.is_removal_confirmed_by(&row));
            let is_confirmed_removal = row.revision == known_revision && confirms_removal;
            if row.revision <= known_as_of && !is_confirmed_removal {
                // Known already, or the server was removed since and has no row.
                self.outdated_row_count += u64::from(is_newer);
                continue;
            }
            if !is_covered && !is_newer && !is_confirmed_removal {
                continue;
            }
            if known.is_none_or(|known| known.backend != row.backend) {
                changes.push(gateway::BackendChange {
                    backend: row.backend.clone(),
                    deferred_until_ms: None,
                    fault: None,
                    key: key.clone(),
                    offset: row.revision.saturating_sub(1),
                });
            }
            let revision = row.revision.max(known_revision);
            let stated = full_table_revision.map_or(row.revision, |full| full.max(row.revision));
            self.hold_if_older(now_ms, &key, row.backend.as_deref(), stated, revision);
            self.note_removal(now_ms, &key, row.backend.as_deref());
            self.rows.insert(
                key,
                backend_row::BackendRow {
                    revision,
                    updated_ms: now_ms,
                    ..row
                },
            );
        }
        // Not the revision of the newest row: another row that changed while the rows
        // were sent may be missing.
        self.revision = self.revision.max(update.revision);
        self.next_offset = self.next_offset.max(update.next_offset);
        changes
    }

    /// Removes the servers that did not register again in time after an outage,
    /// and drops the rows of old removals.
    pub fn tick(&mut self, now_ms: u64) -> Vec<gateway::BackendChange> {
        let mut changes = self.end_holds();
        self.removed_ms
            .retain(|_, removed_ms| *removed_ms + REMOVAL_RETENTION_MS > now_ms);
        let compacted_revision = &mut self.compacted_revision;
        let revision = self.revision;
        self.rows.retain(|_, row| {
            // A row that was pulled ahead of earlier changes says nothing of other keys.
            let is_ahead = row.revision > revision;
            let is_recent = row.updated_ms + REMOVAL_RETENTION_MS > now_ms;
            let is_kept = row.backend.is_some() || is_ahead || is_recent;
            if !is_kept {
                *compacted_revision = (*compacted_revision).max(row.revision);
            }
            is_kept
        });
        for (key, row) in &mut self.rows {
            if row.as_of(now_ms).removal_due_in_ms != Some(0) {
                continue;
            }
            if let Some(backend) = row.backend.take() {
                self.removed_ms.insert(backend.incarnation(), now_ms);
            }
            row.removal_due_in_ms = None;
            row.updated_ms = now_ms;
            changes.push(gateway::BackendChange {
                backend: None,
                deferred_until_ms: None,
                fault: None,
                key: key.clone(),
                offset: row.revision - 1,
            });
        }
        changes
    }

    /// Remembers the server that a row loses, and forgets the removal of the one that it
    /// gets.
    fn note_removal(&mut self, now_ms: u64, key: &str, next: Option<&ports::Backend>) {
        let known = self.rows.get(key).and_then(|row| row.backend.as_deref());
        let next = next.map(ports::Backend::incarnation);
        let lost = known.map(ports::Backend::incarnation);
        if let Some(lost) = lost.filter(|lost| Some(*lost) != next) {
            self.removed_ms.insert(lost, now_ms);
        }
        if let Some(next) = next {
            self.removed_ms.swap_remove(&next);
        }
    }

    fn apply(
        &mut self,
        now_ms: u64,
        entry: ports::FeedEntry<ports::Backend>,
    ) -> Option<gateway::BackendChange> {
        let known = self.rows.get(&entry.key);
        if known.is_some_and(|row| row.revision > entry.offset + 1) {
            return None;
        }
        let shown = known.and_then(|row| self.shown(&entry.key, row)).cloned();
        let known = self.rows.get_mut(&entry.key);
        let (backend, fault) = match entry.value {
            Ok(backend) => (backend, None),
            Err(fault) => (None, Some(fault)),
        };
        let is_known = known.is_some();
        if let Some(row) = known {
            let is_removal = backend.is_none() && fault.is_none();
            if is_removal && shown.is_some() && now_ms < self.grace_until_ms {
                let removal_due_in_ms = self.grace_until_ms - now_ms;
                row.backend = shown;
                row.revision = entry.offset + 1;
                row.removal_due_in_ms = Some(removal_due_in_ms);
                row.updated_ms = now_ms;
                self.revision = self.revision.max(entry.offset + 1);
                return Some(gateway::BackendChange {
                    backend: row.backend.clone(),
                    deferred_until_ms: Some(self.grace_until_ms),
                    fault: None,
                    key: entry.key,
                    offset: entry.offset,
                });
            }
            let was_removal_deferred = row.removal_due_in_ms.take().is_some();
            if !was_removal_deferred
                && is_same_except_warmup(row.backend.as_deref(), backend.as_ref())
            {
                // In an earlier era, the row may come from a record that the store lost.
                // Other VMs may not have had it.
                let is_new_era =
                    restored_store::era(entry.offset) > restored_store::era(row.revision);
                // The row may be of a removal that showed in a complete read of several
                // pages. Such a read does not tell when the server was removed.
                if is_removal {
                    row.updated_ms = now_ms;
                }
                let revision = entry.offset + 1;
                if is_new_era || is_removal {
                    self.raise_row_revision(&entry.key, revision);
                }
                // The row may have been pulled ahead of the rest of its source's table.
                let row = self.rows.get(&entry.key);
                if row.is_some_and(|row| row.revision == revision) {
                    self.revision = self.revision.max(revision);
                }
                return None;
            }
        }
        let revision = entry.offset + 1;
        self.hold_if_older(now_ms, &entry.key, backend.as_ref(), revision, revision);
        self.note_removal(now_ms, &entry.key, backend.as_ref());
        let backend = backend.map(sync::Arc::new);
        let row = backend_row::BackendRow {
            backend: backend.clone(),
            revision: entry.offset + 1,
            removal_due_in_ms: None,
            updated_ms: now_ms,
        };
        self.rows.insert(entry.key.clone(), row);
        self.revision = self.revision.max(entry.offset + 1);
        (is_known || backend.is_some() || fault.is_some()).then_some(gateway::BackendChange {
            backend,
            deferred_until_ms: None,
            fault,
            key: entry.key,
            offset: entry.offset,
        })
    }
}

/// Returns whether two records are equal except for the remaining warm-up time,
/// which decreases with each record.
fn is_same_except_warmup(known: Option<&ports::Backend>, new: Option<&ports::Backend>) -> bool {
    match (known, new) {
        (None, None) => true,
        (Some(known), Some(new)) => {
            let known = ports::Backend {
                warmup_left_ms: new.warmup_left_ms,
                ..known.clone()
            };
            known == *new
        }
        _ => false,
    }
}
