//! Records of a store that has returned from an older copy.

use std::sync;

use crate::gateway;
use crate::gateway::backend_row;
use crate::gateway::backend_table;
use crate::ports;

/// What a row shows in place of a record that the store has from an older copy.
#[derive(Clone, Debug)]
pub(super) struct Hold {
    /// Revision of the record. A later one ends the hold.
    revision: u64,
    /// The server that was known before; `None` if it was removed.
    shown: Option<sync::Arc<ports::Backend>>,
    /// Time in milliseconds such that the hold ends with a confirmation that is not older;
    /// `None` if only a later record ends it.
    until_ms: Option<u64>,
}

impl backend_table::BackendTable {
    /// Takes over what is known here of the end of a server to a row whose removal another
    /// VM has deferred, without that knowledge: that it drains, was removed before, or
    /// has started anew since.
    pub(super) fn keep_known_end(&self, key: &str, row: &mut backend_row::BackendRow) {
        let (Some(known), Some(backend)) = (self.rows.get(key), &row.backend) else {
            return;
        };
        match self.shown(key, known) {
            Some(shown)
                if is_undrained(shown, backend) || shown.born_unix_ms > backend.born_unix_ms =>
            {
                row.backend = Some(sync::Arc::clone(shown));
            }
            None if self.removed_ms.contains_key(&backend.incarnation()) => {
                row.backend = None;
                row.removal_due_in_ms = None;
            }
            _ => {}
        }
    }

    /// Records that rows of a new era come in if `next_position` is in one.
    pub(super) fn note_era(&mut self, now_ms: u64, next_position: u64) -> bool {
        let is_new = self.revision > 0 && era(next_position) > era(self.revision);
        if is_new {
            self.restored_until_ms = now_ms + backend_table::REGISTRATION_GRACE_MS;
        }
        is_new
    }

    /// Holds a row as it is shown now if the store has returned from an older copy and the
    /// next record of the row is older.
    ///
    /// A server that drains never becomes ready again. A server that was removed, or
    /// replaced by a later incarnation, may register again; until it has had time to, the
    /// record is taken for an old one.
    ///
    /// The record is valid as of the position `stated`.
    pub(super) fn hold_if_older(
        &mut self,
        now_ms: u64,
        key: &str,
        next: Option<&ports::Backend>,
        stated: u64,
        next_revision: u64,
    ) {
        let Some(next) = next.filter(|_| now_ms < self.restored_until_ms) else {
            return;
        };
        let Some(known) = self.rows.get(key) else {
            return;
        };
        if era(stated) <= era(known.revision) {
            return;
        }
        let shown = self.shown(key, known).cloned();
        let until_ms = match &shown {
            Some(shown) if is_undrained(shown, next) => None,
            Some(shown) if shown.born_unix_ms > next.born_unix_ms => Some(self.restored_until_ms),
            None if self.removed_ms.contains_key(&next.incarnation()) => {
                Some(self.restored_until_ms)
            }
            _ => return,
        };
        let hold = Hold {
            revision: next_revision,
            shown,
            until_ms,
        };
        self.holds.insert(key.to_owned(), hold);
    }

    /// Raises the revision of a row, and that of its hold with it.
    pub(super) fn raise_row_revision(&mut self, key: &str, revision: u64) {
        let Some(row) = self.rows.get_mut(key) else {
            return;
        };
        let revision = revision.max(row.revision);
        let before = std::mem::replace(&mut row.revision, revision);
        let hold = self.holds.get_mut(key);
        if let Some(hold) = hold.filter(|hold| hold.revision == before) {
            hold.revision = revision;
        }
    }

    /// Returns the server of a row: that of its hold as long as no later record came.
    pub(super) fn shown<'a>(
        &'a self,
        key: &str,
        row: &'a backend_row::BackendRow,
    ) -> Option<&'a sync::Arc<ports::Backend>> {
        let hold = self.holds.get(key);
        let hold = hold.filter(|hold| hold.revision == row.revision);
        hold.map_or(row.backend.as_ref(), |hold| hold.shown.as_ref())
    }

    /// Ends the holds whose time is over, and returns the rows that are shown from now on.
    pub(super) fn end_holds(&mut self) -> Vec<gateway::BackendChange> {
        let rows = &self.rows;
        let confirmed_ms = self.confirmed_ms.unwrap_or(0);
        self.holds.retain(|key, hold| {
            rows.get(key)
                .is_some_and(|row| row.revision == hold.revision)
        });
        let ended = self.holds.extract_if(.., |_, hold| {
            hold.until_ms
                .is_some_and(|until_ms| until_ms <= confirmed_ms)
        });
        let ended = ended.map(|(key, hold)| gateway::BackendChange {
            backend: rows.get(&key).and_then(|row| row.backend.clone()),
            deferred_until_ms: None,
            fault: None,
            offset: hold.revision.saturating_sub(1),
            key,
        });
        ended.collect()
    }
}

/// Returns the era of a position of the store.
pub(super) const fn era(position: u64) -> u64 {
    ports::StorePosition::from_packed(position).era
}

/// Returns whether a record shows a server as ready that is known to drain.
fn is_undrained(known: &ports::Backend, next: &ports::Backend) -> bool {
    known.incarnation() == next.incarnation()
        && known.state == ports::BackendState::Draining
        && next.state == ports::BackendState::Ready
}
