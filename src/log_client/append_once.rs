//! Append to the configuration stream that tolerates a lost reply.

use crate::config_fold;
use crate::log_client;

/// Maximum number of attempts to append a record.
const ATTEMPT_LIMIT: u32 = 3;

/// Number of records per read while searching the stream for a record that may
/// have been stored.
const READ_BACK_COUNT: usize = 256;

/// Appends `record` to the configuration stream. After a lost reply, searches
/// the stream for the record's id before it appends the record again.
///
/// A delayed append can still be stored after the search. In this rare case the
/// record is stored twice, and the fold drops the second copy.
///
/// # Errors
///
/// Returns [`log_client::LogError::NoEffect`] if the record is not in the log,
/// and [`log_client::LogError::MayHaveTakenEffect`] if the record was not found
/// after the last attempt or the stream could not be read.
pub async fn append_once(
    client: &dyn log_client::LogClient,
    record: &config_fold::Record,
) -> Result<log_client::Appended, log_client::LogError> {
    let body = record.to_json();
    let mut last_reason = String::new();
    // After an attempt that may have stored the record, a later refusal does
    // not prove that the record is absent.
    for _ in 0..ATTEMPT_LIMIT {
        match client
            .append(log_client::CONFIGURATION_STREAM, body.clone())
            .await
        {
            Ok(appended) => return Ok(appended),
            Err(error) if last_reason.is_empty() && !error.may_have_taken_effect() => {
                return Err(error);
            }
            Err(error) => error.reason().clone_into(&mut last_reason),
        }
        match find_record(client, &record.record_id).await {
            Ok(Some(offset)) => return Ok(log_client::Appended { offset }),
            Ok(None) => {}
            Err(error) => {
                let reason =
                    format!("{last_reason}; cannot search the stream for the record: {error}");
                return log_client::log_error::MayHaveTakenEffectSnafu { reason }.fail();
            }
        }
    }
    log_client::log_error::MayHaveTakenEffectSnafu {
        reason: last_reason,
    }
    .fail()
}

/// Returns the offset of the record with `record_id`, or `None` if the stream
/// does not contain it.
async fn find_record(
    client: &dyn log_client::LogClient,
    record_id: &str,
) -> Result<Option<u64>, log_client::LogError> {
    let mut next = 0;
    loop {
        let batch = client
            .read(log_client::CONFIGURATION_STREAM, next, READ_BACK_COUNT)
            .await?;
        let found = batch.records.iter().find(|stored| {
            config_fold::Record::parse(&stored.body)
                .is_ok_and(|record| record.record_id == record_id)
        });
        if let Some(stored) = found {
            return Ok(Some(stored.offset));
        }
        match batch.records.last() {
            Some(last) => next = last.offset + 1,
            None if next < batch.first_offset => next = batch.first_offset,
            None => return Ok(None),
        }
    }
}
