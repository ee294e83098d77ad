//! Most recently applied records.

use std::collections;

use crate::config_fold;

/// Most recently applied records, kept to answer the pulls of peers, each with the
/// hash-chain digest of the history before it.
#[derive(Clone, Debug, Default)]
pub struct RecentRecords {
    entries: collections::VecDeque<Entry>,
    size_bytes: usize,
}

#[derive(Clone, Debug)]
struct Entry {
    chain_digest_before: String,
    record: config_fold::LogRecord,
}

impl RecentRecords {
    /// Adds a record and evicts the oldest ones beyond `limit_bytes`.
    pub fn push(
        &mut self,
        chain_digest_before: String,
        record: &config_fold::LogRecord,
        limit_bytes: usize,
    ) {
        self.size_bytes += record.body.len();
        self.entries.push_back(Entry {
            chain_digest_before,
            record: record.clone(),
        });
        while self.size_bytes > limit_bytes
            && let Some(oldest) = self.entries.pop_front()
        {
            self.size_bytes -= oldest.record.body.len();
        }
    }

    /// Removes all records.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Returns the record at `offset` if it is still kept.
    pub fn record_at(&self, offset: u64) -> Option<&config_fold::LogRecord> {
        self.entry_at(offset).map(|entry| &entry.record)
    }

    /// Returns the hash-chain digest of the history before `offset` if the record
    /// at `offset` is still kept.
    pub fn chain_digest_before(&self, offset: u64) -> Option<&str> {
        self.entry_at(offset)
            .map(|entry| entry.chain_digest_before.as_str())
    }

    /// Returns consecutive records from `offset` with bodies of up to `limit_bytes`
    /// in total, but at least one if the record at `offset` is still kept.
    pub fn records_from(&self, offset: u64, limit_bytes: usize) -> Vec<config_fold::LogRecord> {
        let mut size_bytes = 0;
        let mut records = Vec::new();
        let Some(start) = self.index_of(offset) else {
            return records;
        };
        for entry in self.entries.iter().skip(start) {
            size_bytes += entry.record.body.len();
            if size_bytes > limit_bytes && !records.is_empty() {
                break;
            }
            records.push(entry.record.clone());
        }
        records
    }

    fn entry_at(&self, offset: u64) -> Option<&Entry> {
        self.index_of(offset)
            .and_then(|index| self.entries.get(index))
    }

    fn index_of(&self, offset: u64) -> Option<usize> {
        let first = self.entries.front()?.record.offset;
        usize::try_from(offset.checked_sub(first)?)
            .ok()
            .filter(|index| *index < self.entries.len())
    }
}
