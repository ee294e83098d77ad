//! Records beyond a gap, held until a checkpoint bridges it.

use std::collections;

use crate::config_fold;

/// Consecutive records beyond a gap.
#[derive(Clone, Debug, Default)]
pub struct GapBuffer {
    records: collections::VecDeque<config_fold::LogRecord>,
    size_bytes: usize,
}

impl GapBuffer {
    /// Holds `record`; gives whether it opens a new run of records.
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

    /// Gives the offset of the oldest held record.
    pub fn first_offset(&self) -> Option<u64> {
        self.records.front().map(|record| record.offset)
    }

    /// Gives the offset after the newest held record.
    pub fn next_offset(&self) -> Option<u64> {
        self.records.back().map(|record| record.offset + 1)
    }

    /// Takes the record at `next_offset` out, and forgets older ones.
    pub fn pop_at(&mut self, next_offset: u64) -> Option<config_fold::LogRecord> {
        while self.first_offset()? < next_offset {
            self.pop_oldest();
        }
        if self.first_offset()? == next_offset {
            return self.pop_oldest();
        }
        None
    }

    /// Forgets all records.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    fn pop_oldest(&mut self) -> Option<config_fold::LogRecord> {
        let record = self.records.pop_front()?;
        self.size_bytes -= record.body.len();
        Some(record)
    }
}
