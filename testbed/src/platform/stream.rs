//! Stream of the log.

use std::collections;

use crate::platform;

/// Stream of the log. The offsets of its records grow by one.
#[derive(Clone, Debug, Default)]
pub struct Stream {
    first_offset: u64,
    records: collections::VecDeque<platform::Record>,
}

impl Stream {
    /// Appends a record and returns its offset.
    pub fn append(&mut self, now_unix_ms: u64, body: &str) -> u64 {
        let offset = self.next_offset();
        self.records.push_back(platform::Record {
            appended_unix_ms: now_unix_ms,
            body: body.to_owned(),
            offset,
        });
        offset
    }

    /// Drops records appended at or before `expired_unix_ms`.
    pub fn expire(&mut self, expired_unix_ms: u64) {
        while self
            .records
            .front()
            .is_some_and(|record| record.appended_unix_ms <= expired_unix_ms)
        {
            self.drop_first();
        }
    }

    /// Returns the offset of the next record to be appended.
    #[must_use]
    pub fn next_offset(&self) -> u64 {
        self.first_offset + self.records.len() as u64
    }

    /// Returns up to `max_records` records, starting at offset `from`. Returns
    /// no records if `from` has expired or is beyond the last record.
    #[must_use]
    pub fn read(&self, from: u64, max_records: usize) -> platform::ReadResult {
        let records = from
            .checked_sub(self.first_offset)
            .and_then(|skipped| usize::try_from(skipped).ok())
            .map(|skipped| {
                self.records
                    .iter()
                    .skip(skipped)
                    .take(max_records)
                    .cloned()
                    .collect()
            })
            .unwrap_or_default();
        platform::ReadResult {
            first_offset: self.first_offset,
            next_offset: self.next_offset(),
            records,
        }
    }

    /// Drops all records except the newest `retained_records`.
    pub fn truncate(&mut self, retained_records: usize) {
        while self.records.len() > retained_records {
            self.drop_first();
        }
    }

    fn drop_first(&mut self) {
        if self.records.pop_front().is_some() {
            self.first_offset += 1;
        }
    }
}
