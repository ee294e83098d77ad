//! Fake of the platform's log.

use foxtailwinch::health;

/// Record of the fake log.
#[derive(Clone)]
pub enum Record {
    Floor(u32),
    Lease(health::LeaseRecord),
}

/// Fake log with outages, whose appends take effect late or not at all.
#[derive(Default)]
pub struct Log {
    pub down_until_ms: u64,
    pending: Vec<(u64, Record)>,
    records: Vec<Record>,
}

impl Log {
    pub fn append(&mut self, effective_ms: u64, record: Record) {
        self.pending.push((effective_ms, record));
    }

    pub fn next_offset(&self) -> usize {
        self.records.len()
    }

    /// Applies the appends that are due, including those sent before an outage.
    pub fn advance(&mut self, now_ms: u64) {
        let due = self.pending.extract_if(.., |(at_ms, _)| *at_ms <= now_ms);
        self.records.extend(due.map(|(_, record)| record));
    }

    pub fn read(&self, now_ms: u64, offset: usize) -> Option<&Record> {
        self.records
            .get(offset)
            .filter(|_| now_ms >= self.down_until_ms)
    }
}
