//! The fold over the configuration stream.

use snafu::ResultExt as _;

use crate::config_fold;
use crate::config_fold::{
    batch_error, gap_buffer, hash_chain, local_history, recent_records, rules, snapshot_error,
};
use crate::configs;

/// The fold over the configuration stream.
///
/// Offsets only grow: no record, checkpoint or batch takes what is in force
/// back to an older roll-out.
#[derive(Clone, Debug)]
pub struct ConfigFold {
    config: configs::ConfigFoldConfig,
    gap_buffer: gap_buffer::GapBuffer,
    in_force: Option<config_fold::InForce>,
    state: config_fold::FoldState,
    recent_records: recent_records::RecentRecords,
}

impl ConfigFold {
    /// Gives a fold that has folded nothing.
    #[must_use]
    pub fn new(config: configs::ConfigFoldConfig) -> Self {
        Self {
            config,
            gap_buffer: gap_buffer::GapBuffer::default(),
            in_force: None,
            state: config_fold::FoldState::default(),
            recent_records: recent_records::RecentRecords::default(),
        }
    }

    /// Gives a fold that continues from `state`.
    ///
    /// # Errors
    ///
    /// Fails if the state contradicts itself or its bundle is unusable.
    pub fn from_snapshot(
        config: configs::ConfigFoldConfig,
        state: config_fold::FoldState,
    ) -> Result<Self, config_fold::SnapshotError> {
        let in_force = state.load_in_force()?;
        Ok(Self {
            in_force,
            state,
            ..Self::new(config)
        })
    }

    /// Gives the offset of the next record to fold.
    #[must_use]
    pub const fn next_offset(&self) -> u64 {
        self.state.next_offset
    }

    /// Gives the offset of the next record to read from the log: beyond a gap
    /// that is after the records already held.
    #[must_use]
    pub fn next_read_offset(&self) -> u64 {
        self.gap_buffer
            .next_offset()
            .unwrap_or(0)
            .max(self.state.next_offset)
    }

    /// Gives the bundle in force.
    #[must_use]
    pub const fn in_force(&self) -> Option<&config_fold::InForce> {
        self.in_force.as_ref()
    }

    /// Gives everything that the fold remembers.
    #[must_use]
    pub const fn state(&self) -> &config_fold::FoldState {
        &self.state
    }

    /// Gives a copy of everything that the fold remembers.
    #[must_use]
    pub fn snapshot(&self) -> config_fold::FoldState {
        self.state.clone()
    }

    /// Gives a checkpoint of the fold to append to the log; nothing before the
    /// first record.
    #[must_use]
    pub fn checkpoint(&self) -> Option<config_fold::RecordBody> {
        let covers_offset = self.state.next_offset.checked_sub(1)?;
        Some(config_fold::RecordBody::Checkpoint {
            covers_offset,
            state: Box::new(self.snapshot()),
        })
    }

    /// Folds a record of the log. A record beyond a gap is held until a
    /// checkpoint bridges the gap.
    pub fn apply(&mut self, record: &config_fold::LogRecord) -> Vec<config_fold::FoldEvent> {
        let mut events = Vec::new();
        if record.offset < self.state.next_offset || record.offset == u64::MAX {
            events.push(self.ignored_record_event(record));
            return events;
        }
        if record.offset == self.state.next_offset {
            self.fold_record(record, &mut events);
        } else {
            self.buffer_beyond_gap(record, &mut events);
        }
        while let Some(buffered) = self.gap_buffer.pop_at(self.state.next_offset) {
            self.fold_record(&buffered, &mut events);
        }
        events
    }

    /// Takes over a batch from a peer.
    ///
    /// # Errors
    ///
    /// Refuses, and changes nothing, if the batch does not continue this
    /// fold's own history or its checkpoint is not newer.
    pub fn apply_batch(
        &mut self,
        batch: &config_fold::RecordBatch,
    ) -> Result<Vec<config_fold::FoldEvent>, config_fold::BatchError> {
        match &batch.content {
            config_fold::BatchContent::Checkpoint(state) => {
                let mut events = Vec::new();
                self.adopt_state(state, &mut events)
                    .context(batch_error::CheckpointSnafu)?;
                while let Some(buffered) = self.gap_buffer.pop_at(self.state.next_offset) {
                    self.fold_record(&buffered, &mut events);
                }
                Ok(events)
            }
            config_fold::BatchContent::Records {
                chain_digest_before,
                first_offset,
                records,
            } => {
                let history = local_history::LocalHistory {
                    state: &self.state,
                    recent_records: &self.recent_records,
                };
                history.check_continuation(chain_digest_before, *first_offset, records)?;
                let next_offset = self.state.next_offset;
                let new_records = records.iter().filter(|record| record.offset >= next_offset);
                Ok(new_records.flat_map(|record| self.apply(record)).collect())
            }
        }
    }

    /// Gives what a peer that wants the records from `offset` on needs: the
    /// records, up to `limit_bytes` but at least one, or a checkpoint if they
    /// are no longer kept.
    #[must_use]
    pub fn records_from(&self, offset: u64, limit_bytes: usize) -> config_fold::RecordBatch {
        let next_offset = self.state.next_offset;
        let digest = if offset >= next_offset {
            Some(self.state.chain_digest.as_str())
        } else {
            self.recent_records.chain_digest_before(offset)
        };
        let content = match digest {
            Some(digest) => config_fold::BatchContent::Records {
                chain_digest_before: digest.to_owned(),
                first_offset: offset.min(next_offset),
                records: self.recent_records.records_from(offset, limit_bytes),
            },
            None => config_fold::BatchContent::Checkpoint(Box::new(self.snapshot())),
        };
        config_fold::RecordBatch {
            content,
            next_offset,
        }
    }

    fn ignored_record_event(&self, record: &config_fold::LogRecord) -> config_fold::FoldEvent {
        let offset = record.offset;
        match self.recent_records.record_at(offset) {
            Some(folded) if folded != record => config_fold::FoldEvent::HistoryConflict { offset },
            _ => config_fold::FoldEvent::OffsetIgnored { offset },
        }
    }

    fn buffer_beyond_gap(
        &mut self,
        record: &config_fold::LogRecord,
        events: &mut Vec<config_fold::FoldEvent>,
    ) {
        if self.gap_buffer.push(record, self.config.gap_limit_bytes) {
            events.push(config_fold::FoldEvent::GapFound {
                expected_offset: self.state.next_offset,
                found_offset: record.offset,
            });
        }
        let Ok(parsed) = config_fold::Record::parse(&record.body) else {
            return;
        };
        let config_fold::RecordBody::Checkpoint {
            covers_offset,
            state,
        } = parsed.body
        else {
            return;
        };
        // Every record after the covered ones must still be at hand.
        let closes_gap = self.gap_buffer.first_offset() <= Some(state.next_offset);
        let consistent = state.next_offset == covers_offset.saturating_add(1);
        let result = if closes_gap && consistent && covers_offset < record.offset {
            self.adopt_state(&state, events)
        } else {
            let problem = "it does not cover the gap";
            snapshot_error::InconsistentSnafu { problem }.fail()
        };
        if let Err(error) = result {
            events.push(config_fold::FoldEvent::CheckpointRefused {
                offset: record.offset,
                reason: error.to_string(),
            });
        }
    }

    /// Replaces the state by a newer one.
    fn adopt_state(
        &mut self,
        state: &config_fold::FoldState,
        events: &mut Vec<config_fold::FoldEvent>,
    ) -> Result<(), config_fold::SnapshotError> {
        if state.next_offset <= self.state.next_offset {
            let problem = format!(
                "it ends at {} and the fold at {}",
                state.next_offset, self.state.next_offset
            );
            return snapshot_error::OlderSnafu { problem }.fail();
        }
        let in_force = state.load_in_force()?;
        let old_offset = self.in_force.as_ref().map(|old| old.offset);
        let new_offset = in_force.as_ref().map(|new| new.offset);
        if new_offset < old_offset {
            let problem = "its bundle in force is older";
            return snapshot_error::OlderSnafu { problem }.fail();
        }
        self.state = state.clone();
        self.recent_records.clear();
        events.push(config_fold::FoldEvent::CheckpointAdopted {
            covers_offset: state.next_offset - 1,
        });
        if new_offset > old_offset
            && let Some(in_force) = in_force
        {
            self.put_in_force(in_force, events);
        }
        Ok(())
    }

    fn fold_record(
        &mut self,
        record: &config_fold::LogRecord,
        events: &mut Vec<config_fold::FoldEvent>,
    ) {
        assert_eq!(
            record.offset, self.state.next_offset,
            "records are folded in offset order without gaps"
        );
        let digest = hash_chain::extend(&self.state.chain_digest, record);
        let chain_digest_before = std::mem::replace(&mut self.state.chain_digest, digest);
        self.recent_records
            .push(chain_digest_before, record, self.config.tail_limit_bytes);
        if record.offset == 0 {
            self.state.oldest_needed_unix_ms = record.appended_unix_ms;
        }
        self.state.next_offset = record.offset + 1;
        self.state.log_unix_ms = self.state.log_unix_ms.max(record.appended_unix_ms);
        let bundle = self
            .in_force
            .as_ref()
            .map(|in_force| in_force.bundle.as_ref());
        let event = rules::apply_record(&mut self.state, bundle, record);
        events.push(event.clone());
        if let config_fold::FoldEvent::BundleInForce { .. } = event {
            events.pop();
            match self.state.load_in_force() {
                Ok(Some(in_force)) => self.put_in_force(in_force, events),
                // The proposal was parsed when it was folded.
                other => unreachable!("a checked bundle loads: {other:?}"),
            }
        }
    }

    fn put_in_force(
        &mut self,
        in_force: config_fold::InForce,
        events: &mut Vec<config_fold::FoldEvent>,
    ) {
        assert!(
            self.in_force
                .as_ref()
                .is_none_or(|old| old.offset < in_force.offset),
            "what is in force never goes back"
        );
        events.push(config_fold::FoldEvent::BundleInForce {
            offset: in_force.offset,
            version: in_force.version.clone(),
        });
        self.in_force = Some(in_force);
    }
}
