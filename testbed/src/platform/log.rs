//! Log service without its HTTP interface.

use crate::platform;

/// Largest record, in bytes.
const MAX_RECORD_BYTES: usize = 1_048_576;

/// Streams of records with limited retention, and the injected faults.
#[derive(Clone, Debug, Default)]
pub struct Log {
    appended_in_second: u32,
    faults: platform::Faults,
    retention_ms: u64,
    second: u64,
    streams: indexmap::IndexMap<String, platform::Stream>,
}

impl Log {
    /// Creates an empty log that retains records for `retention_ms`
    /// milliseconds, or forever if `retention_ms` is 0.
    #[must_use]
    pub fn new(retention_ms: u64) -> Self {
        Self {
            retention_ms,
            ..Self::default()
        }
    }

    /// Appends a record and returns its offset.
    ///
    /// # Errors
    ///
    /// Returns an error without any effect if the record is too large or the
    /// rate limit of appends is reached.
    pub fn append(
        &mut self,
        now_unix_ms: u64,
        stream: &str,
        body: &str,
    ) -> Result<u64, platform::AppendError> {
        if body.len() > MAX_RECORD_BYTES {
            return Err(platform::AppendError::TooLarge {
                limit_bytes: MAX_RECORD_BYTES,
                size_bytes: body.len(),
            });
        }
        self.count_append(now_unix_ms)?;
        self.expire(now_unix_ms);
        let stream = self.streams.entry(stream.to_owned()).or_default();
        let offset = stream.append(now_unix_ms, body);
        if let Some(retained_records) = self.faults.retention_records {
            stream.truncate(retained_records);
        }
        Ok(offset)
    }

    /// Returns the injected faults.
    #[must_use]
    pub const fn faults(&self) -> &platform::Faults {
        &self.faults
    }

    /// Reads up to `max_records` records of a stream, starting at offset
    /// `from`.
    pub fn read(
        &mut self,
        now_unix_ms: u64,
        stream: &str,
        from: u64,
        max_records: usize,
    ) -> platform::ReadResult {
        self.expire(now_unix_ms);
        self.streams.get(stream).map_or_else(
            || platform::Stream::default().read(from, max_records),
            |stream| stream.read(from, max_records),
        )
    }

    /// Replaces the injected faults.
    pub fn set_faults(&mut self, faults: platform::Faults) {
        if let Some(retained_records) = faults.retention_records {
            for stream in self.streams.values_mut() {
                stream.truncate(retained_records);
            }
        }
        self.faults = faults;
    }

    /// Decrements the number of replies to lose. Returns `false` if it is
    /// already 0.
    pub fn consume_lost_reply(&mut self) -> bool {
        let Some(remaining) = self.faults.lose_replies.checked_sub(1) else {
            return false;
        };
        self.faults.lose_replies = remaining;
        true
    }

    fn count_append(&mut self, now_unix_ms: u64) -> Result<(), platform::AppendError> {
        let second = now_unix_ms / 1_000;
        if second != self.second {
            self.second = second;
            self.appended_in_second = 0;
        }
        if let Some(rate_per_s) = self.faults.append_rate_per_s
            && self.appended_in_second >= rate_per_s
        {
            return Err(platform::AppendError::TooManyAppends { rate_per_s });
        }
        self.appended_in_second = self.appended_in_second.saturating_add(1);
        Ok(())
    }

    fn expire(&mut self, now_unix_ms: u64) {
        if self.retention_ms == 0 {
            return;
        }
        let Some(expired_unix_ms) = now_unix_ms.checked_sub(self.retention_ms) else {
            return;
        };
        for stream in self.streams.values_mut() {
            stream.expire(expired_unix_ms);
        }
    }
}
