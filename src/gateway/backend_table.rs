//! The registry of backend servers as this VM knows it.

use std::sync;

use crate::gateway;
use crate::ports;

/// Gap without news from the store that counts as an outage, in milliseconds.
/// A reader reads several times in this span.
const OUTAGE_GAP_MS: u64 = 2_000;
/// Time after an outage in which servers register again, in milliseconds; the
/// platform promises two seconds.
const REGISTRATION_GRACE_MS: u64 = 2_000;
/// Time for which a removed key is remembered, so that others learn of it, in
/// milliseconds. A VM that is further behind is given the whole table.
const REMOVAL_RETENTION_MS: u64 = 600_000;

/// The registry of backend servers as this VM knows it.
///
/// Rows come from the store or from other VMs; of two rows of one key the one
/// with the higher offset holds. What the store dropped during an outage is
/// used on until servers have had time to register again.
#[derive(Clone, Debug, Default)]
pub struct BackendTable {
    revision: u64,
    confirmed_ms: Option<u64>,
    last_read_failure_ms: Option<u64>,
    grace_until_ms: u64,
    /// Marks below this one may lack removals.
    compacted_revision: u64,
    next_offset: u64,
    rows: indexmap::IndexMap<String, BackendRow>,
}

/// What is known of one key of the registry.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct BackendRow {
    /// The server; nothing when it has left or its record cannot be read.
    pub backend: Option<sync::Arc<ports::Backend>>,
    /// Offset after the record that changed it last.
    #[serde(rename = "change_mark")]
    pub revision: u64,
    /// Time until a removal takes effect that may be due to an outage, in
    /// milliseconds; for other VMs, as of when the row is given.
    #[serde(rename = "lapse_left_ms")]
    pub removal_due_in_ms: Option<u64>,
    /// When this VM learned of it, in milliseconds of its clock.
    #[serde(skip)]
    pub updated_ms: u64,
}

impl BackendRow {
    /// Tells whether another VM knows that a removal that waits here is due: it
    /// has seen no outage.
    fn is_removal_confirmed_by(&self, other: &Self) -> bool {
        self.removal_due_in_ms.is_some() && other.backend.is_none()
    }

    /// Gives the row with the time that is left now.
    fn as_of(&self, now_ms: u64) -> Self {
        let age_ms = now_ms.saturating_sub(self.updated_ms);
        Self {
            removal_due_in_ms: self
                .removal_due_in_ms
                .map(|left_ms| left_ms.saturating_sub(age_ms)),
            updated_ms: now_ms,
            ..self.clone()
        }
    }
}

impl BackendTable {
    /// Gives the offset after the newest change that is known; 0 before the
    /// first.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Gives where the next read of changes goes on; nothing before the first
    /// full read.
    #[must_use]
    pub const fn next_offset(&self) -> Option<u64> {
        if self.confirmed_ms.is_none() {
            return None;
        }
        Some(self.next_offset)
    }

    /// Gives when the table was last known to be complete.
    #[must_use]
    pub const fn confirmed_ms(&self) -> Option<u64> {
        self.confirmed_ms
    }

    /// Gives the servers that are registered.
    pub fn backends(&self) -> impl Iterator<Item = &sync::Arc<ports::Backend>> {
        self.rows.values().filter_map(|row| row.backend.as_ref())
    }

    /// Gives the rows that changed at a revision or later.
    pub fn rows_since(
        &self,
        now_ms: u64,
        revision: u64,
    ) -> impl Iterator<Item = (&String, BackendRow)> {
        let newer = self.rows.iter();
        let newer = newer.filter(move |(_, row)| row.revision > revision);
        newer.map(move |(key, row)| (key, row.as_of(now_ms)))
    }

    /// Notes that the table was complete at `confirmed_ms`.
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

    /// Notes that a read of the store failed, here or at another VM.
    pub fn record_read_failure(&mut self, now_ms: u64) {
        self.last_read_failure_ms = Some(now_ms);
    }

    /// Takes in changes that were read from the store.
    pub fn apply_changes(
        &mut self,
        now_ms: u64,
        page: ports::FeedPage<ports::Backend>,
    ) -> Vec<gateway::BackendChange> {
        let changes = page.entries.into_iter();
        let changes = changes
            .filter_map(|entry| self.apply(now_ms, entry))
            .collect();
        self.next_offset = self.next_offset.max(page.next_offset);
        changes
    }

    /// Takes in the newest records of all keys. What is not among them has
    /// been removed.
    pub fn apply_newest(
        &mut self,
        now_ms: u64,
        page: ports::FeedPage<ports::Backend>,
    ) -> Vec<gateway::BackendChange> {
        // Removals of keys that this VM does not know are not among the records,
        // so others must take the whole table from it.
        self.compacted_revision = self.compacted_revision.max(page.next_offset);
        self.revision = self.revision.max(page.next_offset);
        let listed: indexmap::IndexSet<&String> =
            page.entries.iter().map(|entry| &entry.key).collect();
        let removed_offset = page.next_offset.saturating_sub(1);
        let missing: Vec<String> = self
            .rows
            .iter()
            .filter(|(key, row)| row.revision <= page.next_offset && !listed.contains(key))
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
        changes.extend(self.apply_changes(now_ms, page));
        changes
    }

    /// Tells whether rows since a revision would leave out removals that were
    /// forgotten, so that the whole table must be given.
    #[must_use]
    pub const fn needs_full_table(&self, revision: u64) -> bool {
        revision < self.compacted_revision
    }

    /// Takes in rows of another VM: those since this VM's revision, or the whole
    /// table as of `full_table_revision`.
    pub fn merge(
        &mut self,
        now_ms: u64,
        rows: indexmap::IndexMap<String, BackendRow>,
        full_table_revision: Option<u64>,
        next_offset: u64,
    ) -> Vec<gateway::BackendChange> {
        let mut changes = Vec::new();
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
        for (key, row) in rows {
            let known = self.rows.get(&key);
            let known_revision = known.map_or(0, |known| known.revision);
            // The whole table counts for all that it covers; a single row only
            // if it is newer.
            let is_covered = full_table_revision
                .is_some_and(|full_table_revision| known_revision <= full_table_revision);
            let is_newer = row.revision > known_revision;
            let confirms_removal = known.is_some_and(|known| known.is_removal_confirmed_by(&row));
            let is_confirmed_removal = row.revision == known_revision && confirms_removal;
            if !is_covered && !is_newer && !is_confirmed_removal {
                continue;
            }
            self.revision = self.revision.max(row.revision);
            if known.is_none_or(|known| known.backend != row.backend) {
                changes.push(gateway::BackendChange {
                    backend: row.backend.clone(),
                    deferred_until_ms: None,
                    fault: None,
                    key: key.clone(),
                    offset: row.revision.saturating_sub(1),
                });
            }
            self.rows.insert(
                key,
                BackendRow {
                    revision: row.revision.max(known_revision),
                    updated_ms: now_ms,
                    ..row
                },
            );
        }
        self.next_offset = self.next_offset.max(next_offset);
        changes
    }

    /// Takes out the servers that did not register again after an outage, and
    /// forgets old removals.
    pub fn tick(&mut self, now_ms: u64) -> Vec<gateway::BackendChange> {
        let mut changes = Vec::new();
        let compacted_revision = &mut self.compacted_revision;
        self.rows.retain(|_, row| {
            let is_kept = row.backend.is_some() || row.updated_ms + REMOVAL_RETENTION_MS > now_ms;
            if !is_kept {
                *compacted_revision = (*compacted_revision).max(row.revision);
            }
            is_kept
        });
        for (key, row) in &mut self.rows {
            if row.as_of(now_ms).removal_due_in_ms != Some(0) {
                continue;
            }
            row.backend = None;
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

    fn apply(
        &mut self,
        now_ms: u64,
        entry: ports::FeedEntry<ports::Backend>,
    ) -> Option<gateway::BackendChange> {
        let known = self.rows.get_mut(&entry.key);
        if known
            .as_ref()
            .is_some_and(|row| row.revision > entry.offset + 1)
        {
            return None;
        }
        let (backend, fault) = match entry.value {
            Ok(backend) => (backend, None),
            Err(fault) => (None, Some(fault)),
        };
        let is_known = known.is_some();
        if let Some(row) = known {
            let is_registered = row.backend.is_some();
            if backend.is_none() && fault.is_none() && is_registered && now_ms < self.grace_until_ms
            {
                let removal_due_in_ms = self.grace_until_ms - now_ms;
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
                return None;
            }
        }
        let backend = backend.map(sync::Arc::new);
        let row = BackendRow {
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

/// Tells whether two records say the same but for the warm-up, which each of
/// them counts down.
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
