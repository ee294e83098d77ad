//! Buffer of records beyond a gap.

use std::collections;

use crate::config_fold;

/// Consecutive records beyond a gap, buffered until a checkpoint covers the gap.
#[derive(Clone, Debug, Default)]
pub struct GapBuffer {
    records: collections::VecDeque<config_fold::LogRecord>,
    size_bytes: usize,
}

impl GapBuffer {
    /// Adds `record` and evicts the oldest records beyond `limit_bytes`.
    ///
    /// A record that leaves a gap after the newest buffered one replaces all
    /// buffered records. A record that is not newer than the newest buffered one is
    /// ignored. Returns whether `record` starts a new run, which is also the case if
    /// the buffer was empty.
    pub fn push(&mut self, record: &config_fold::LogRecord, limit_bytes: usize) -> bool {
        let next_offset = self.records.back().map(|last| last.offset + 1);
        if next_offset.is_some_and(|next| record.offset < next) {
            return false;
        }
        let starts_run = next_offset != Some(record.offset);
        if starts_run {
            self.clear();
        }
        self.size_bytes += record.body.len();
        self.records.push_back(record.clone());
        while self.size_bytes > limit_bytes && self.records.len() > 1 {
            self.pop_oldest();
        }
        starts_run
    }

    /// Returns the offset of the oldest buffered record, or `None` if the buffer is
    /// empty.
    pub fn first_offset(&self) -> Option<u64> {
        self.records.front().map(|record| record.offset)
    }

    /// Returns the offset after the newest buffered record, or `None` if the buffer
    /// is empty.
    pub fn next_offset(&self) -> Option<u64> {
        self.records.back().map(|record| record.offset + 1)
    }

    /// Removes the records before `next_offset`, then removes and returns the record
    /// at `next_offset`. Returns `None` if that record is not buffered.
    pub fn pop_at(&mut self, next_offset: u64) -> Option<config_fold::LogRecord> {
        while self.first_offset()? < next_offset {
            self.pop_oldest();
        }
        if self.first_offset()? == next_offset {
            return self.pop_oldest();
        }
        None
    }

    /// Removes all records.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    fn pop_oldest(&mut self) -> Option<config_fold::LogRecord> {
        let record = self.records.pop_front()?;
        self.size_bytes -= record.body.len();
        Some(record)
    }
}
