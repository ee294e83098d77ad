//! An append that survives a lost reply without doubling its record.

use crate::config_fold;
use crate::log_client;

/// Attempts before [`append_once`] gives up.
const ATTEMPT_LIMIT: u32 = 3;

/// Records read at a time while looking for a record that may have landed.
const READ_BACK_COUNT: usize = 256;

/// Appends `record` to the configuration stream, and after a lost reply reads
/// the stream back by record id before it appends again.
///
/// A reply can be lost and the record still be on its way, so a record may in
/// rare cases be stored twice; the fold drops the second one.
///
/// # Errors
///
/// [`log_client::LogError::NoEffect`] if the record is not in the log, and
/// [`log_client::LogError::MayHaveTakenEffect`] if the log could not be read
/// back.
pub async fn append_once(
    client: &dyn log_client::LogClient,
    record: &config_fold::Record,
) -> Result<log_client::Appended, log_client::LogError> {
    let body = record.to_json();
    let mut last_reason = String::new();
    // Once an attempt may have landed, no later refusal proves the contrary.
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
                let reason = format!("{last_reason}; reading back: {error}");
                return log_client::log_error::MayHaveTakenEffectSnafu { reason }.fail();
            }
        }
    }
    log_client::log_error::MayHaveTakenEffectSnafu {
        reason: last_reason,
    }
    .fail()
}

/// Gives the offset of the record with `record_id`.
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
