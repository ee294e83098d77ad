//! Applies the records of the configuration log to the configuration state.

use snafu::ResultExt as _;

use crate::config_fold;
use crate::config_fold::{
    batch_error, gap_buffer, hash_chain, local_history, recent_records, rules, snapshot_error,
};
use crate::configs;

/// Configuration state of a VM, to which records are applied in offset order.
///
/// Offsets only grow: no record, checkpoint or batch reverts the bundle in force
/// to an older roll-out.
#[derive(Clone, Debug)]
pub struct ConfigFold {
    config: configs::ConfigFoldConfig,
    gap_buffer: gap_buffer::GapBuffer,
    in_force: Option<config_fold::InForce>,
    state: config_fold::FoldState,
    recent_records: recent_records::RecentRecords,
}

impl ConfigFold {
    /// Creates a fold to which no record has been applied.
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

    /// Creates a fold that continues from `state`.
    ///
    /// # Errors
    ///
    /// Returns an error if the state is inconsistent or contains an invalid
    /// bundle.
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

    /// Returns the offset of the next record to apply.
    #[must_use]
    pub const fn next_offset(&self) -> u64 {
        self.state.next_offset
    }

    /// Returns the offset of the next record to read from the log. If records
    /// beyond a gap are buffered, this is the offset after the last of them.
    #[must_use]
    pub fn next_read_offset(&self) -> u64 {
        self.gap_buffer
            .next_offset()
            .unwrap_or(0)
            .max(self.state.next_offset)
    }

    /// Returns the bundle in force, or `None` before the first roll-out.
    #[must_use]
    pub const fn in_force(&self) -> Option<&config_fold::InForce> {
        self.in_force.as_ref()
    }

    /// Returns the configuration state.
    #[must_use]
    pub const fn state(&self) -> &config_fold::FoldState {
        &self.state
    }

    /// Returns a copy of the configuration state.
    #[must_use]
    pub fn snapshot(&self) -> config_fold::FoldState {
        self.state.clone()
    }

    /// Creates a checkpoint of the state to append to the log. Returns `None`
    /// before the first record.
    #[must_use]
    pub fn checkpoint(&self) -> Option<config_fold::RecordBody> {
        let covers_offset = self.state.next_offset.checked_sub(1)?;
        Some(config_fold::RecordBody::Checkpoint {
            covers_offset,
            state: Box::new(self.snapshot()),
        })
    }

    /// Applies a record of the log. A record beyond a gap is buffered until a
    /// checkpoint covers the gap.
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

    /// Applies a batch from a peer.
    ///
    /// # Errors
    ///
    /// Returns an error and leaves the state unchanged if the batch does not
    /// continue this VM's own history, or if its checkpoint is invalid or not
    /// newer than the state.
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

    /// Creates the batch for a peer that requests the records from `offset`.
    ///
    /// The batch contains records with bodies of up to `limit_bytes` in total,
    /// but at least one if there are any. If the record at `offset` is no longer
    /// kept, the batch contains a checkpoint instead.
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
            Some(applied) if applied != record => {
                config_fold::FoldEvent::HistoryConflict { offset }
            }
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
        // All records after the covered ones must be in the buffer, because they
        // are applied on top of the checkpoint.
        let closes_gap = self.gap_buffer.first_offset() <= Some(state.next_offset);
        let consistent = state.next_offset == covers_offset.saturating_add(1);
        let result = if closes_gap && consistent && covers_offset < record.offset {
            self.adopt_state(&state, events)
        } else {
            let problem = "the checkpoint does not cover the gap";
            snapshot_error::InconsistentSnafu { problem }.fail()
        };
        if let Err(error) = result {
            events.push(config_fold::FoldEvent::CheckpointRefused {
                offset: record.offset,
                reason: error.to_string(),
            });
        }
    }

    /// Replaces the state by the newer `state` of a checkpoint.
    fn adopt_state(
        &mut self,
        state: &config_fold::FoldState,
        events: &mut Vec<config_fold::FoldEvent>,
    ) -> Result<(), config_fold::SnapshotError> {
        if state.next_offset <= self.state.next_offset {
            let problem = format!(
                "its next offset is {}, the current one is {}",
                state.next_offset, self.state.next_offset
            );
            return snapshot_error::OlderSnafu { problem }.fail();
        }
        let in_force = state.load_in_force()?;
        let old_offset = self.in_force.as_ref().map(|old| old.offset);
        let new_offset = in_force.as_ref().map(|new| new.offset);
        if new_offset < old_offset {
            let problem = "its bundle in force has an older roll-out";
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
            "records are applied in offset order without gaps"
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
                // The bundle was parsed when its proposal was applied.
                other => unreachable!("an accepted bundle must load: {other:?}"),
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
            "the bundle in force never reverts to an older roll-out"
        );
        events.push(config_fold::FoldEvent::BundleInForce {
            offset: in_force.offset,
            version: in_force.version.clone(),
        });
        self.in_force = Some(in_force);
    }
}
