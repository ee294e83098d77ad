//! Check that records from a peer continue this VM's own history.

use crate::config_fold;
use crate::config_fold::{batch_error, hash_chain, recent_records};

/// History of the applied records, as far as digests of it are kept.
pub struct LocalHistory<'a> {
    /// Current configuration state.
    pub state: &'a config_fold::FoldState,
    /// Most recently applied records.
    pub recent_records: &'a recent_records::RecentRecords,
}

impl LocalHistory<'_> {
    /// Checks that `records`, which begin at `first_offset` after a history with
    /// the digest `chain_digest_before`, agree with this history and continue it
    /// without a gap.
    ///
    /// # Errors
    ///
    /// Returns an error if the records are not consecutive, leave a gap to this
    /// history, or have a different digest at an offset that both histories
    /// contain.
    pub fn check_continuation(
        &self,
        chain_digest_before: &str,
        first_offset: u64,
        records: &[config_fold::LogRecord],
    ) -> Result<(), config_fold::BatchError> {
        let next_offset = self.state.next_offset;
        check_contiguous(next_offset, first_offset, records)?;
        let mut digest = chain_digest_before.to_owned();
        let mut offset = first_offset;
        for record in records {
            self.check_digest_at(offset, &digest)?;
            digest = hash_chain::extend(&digest, record);
            offset += 1;
        }
        self.check_digest_at(offset, &digest)
    }

    fn check_digest_at(&self, offset: u64, digest: &str) -> Result<(), config_fold::BatchError> {
        let own = if offset == self.state.next_offset {
            Some(self.state.chain_digest.as_str())
        } else {
            self.recent_records.chain_digest_before(offset)
        };
        if own.is_some_and(|own| own != digest) {
            return batch_error::ConflictSnafu { offset }.fail();
        }
        Ok(())
    }
}

fn check_contiguous(
    next_offset: u64,
    first_offset: u64,
    records: &[config_fold::LogRecord],
) -> Result<(), config_fold::BatchError> {
    if first_offset > next_offset {
        return batch_error::NotContiguousSnafu {
            expected: next_offset,
            found: first_offset,
        }
        .fail();
    }
    for (record, expected) in records.iter().zip(first_offset..) {
        if record.offset != expected {
            let found = record.offset;
            return batch_error::NotContiguousSnafu { expected, found }.fail();
        }
    }
    Ok(())
}
