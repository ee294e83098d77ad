//! Rules that apply a record to the configuration state.
//!
//! All VMs must reach the same state, so nothing here depends on settings, local
//! clocks or the order of arrival.

use crate::bundle;
use crate::config_fold;

mod bundles;
mod leases;
mod rehearsals;

pub use bundles::find_bundle_problem;

/// Longest duration of a lease, in milliseconds. Longer leases are shortened.
const LEASE_LIMIT_MS: u64 = 3_600_000;

/// Position of a record in the log.
#[derive(Clone, Copy)]
pub struct RecordPosition {
    /// Time of the append, in milliseconds since the Unix epoch by the log's clock.
    /// Never earlier than the time of an earlier record.
    pub log_unix_ms: u64,
    /// Offset of the record.
    pub offset: u64,
}

/// Number of applied records whose ids are kept to detect duplicates. A duplicate
/// of an older record has no effect, because its version, base, term or id is
/// rejected by then.
const RECORD_ID_LIMIT_COUNT: usize = 1_024;

/// Applies `record` to `state`, whose bundle in force is `in_force`, and returns
/// the result.
pub fn apply_record(
    state: &mut config_fold::FoldState,
    in_force: Option<&bundle::Bundle>,
    record: &config_fold::LogRecord,
) -> config_fold::FoldEvent {
    let offset = record.offset;
    let parsed = match config_fold::Record::parse(&record.body) {
        Ok(parsed) => parsed,
        Err(error) => {
            let reason = error.to_string();
            return config_fold::FoldEvent::RecordSkipped { offset, reason };
        }
    };
    let record_id = parsed.record_id;
    if !state.recent_record_ids.insert(record_id.clone()) {
        return config_fold::FoldEvent::DuplicateDropped { offset, record_id };
    }
    if state.recent_record_ids.len() > RECORD_ID_LIMIT_COUNT {
        state.recent_record_ids.shift_remove_index(0);
    }
    let position = RecordPosition {
        log_unix_ms: state.log_unix_ms,
        offset,
    };
    apply_body(state, in_force, position, &parsed.body).unwrap_or_else(|reason| {
        config_fold::FoldEvent::Rejected {
            offset,
            reason,
            record_id,
        }
    })
}

fn apply_body(
    state: &mut config_fold::FoldState,
    in_force: Option<&bundle::Bundle>,
    position: RecordPosition,
    body: &config_fold::RecordBody,
) -> Result<config_fold::FoldEvent, config_fold::Rejection> {
    use config_fold::RecordBody;
    match body {
        RecordBody::BundleProposed {
            base_version,
            bundle_version,
            content,
            digest,
            operator,
        } => {
            let proposal = config_fold::Proposal {
                base_version: base_version.clone(),
                content: content.clone(),
                digest: digest.clone(),
                offset: position.offset,
                operator: operator.clone(),
                signed_off_by: Vec::new(),
            };
            bundles::propose(state, bundle_version, proposal)
        }
        RecordBody::SignedOff {
            bundle_version,
            operator,
        } => bundles::sign_off(state, bundle_version, operator),
        RecordBody::RolledOut {
            base_version,
            bundle_version,
            operator,
        } => bundles::roll_out(
            state,
            position,
            base_version.as_deref(),
            bundle_version,
            operator,
        ),
        RecordBody::Checkpoint {
            covers_offset,
            state: checkpoint_state,
        } => Ok(apply_checkpoint(
            state,
            position,
            *covers_offset,
            checkpoint_state,
        )),
        RecordBody::LeaseTaken {
            duration_ms,
            holder,
            name,
            term,
        } => {
            let lease = config_fold::Lease {
                expires_unix_ms: position
                    .log_unix_ms
                    .saturating_add((*duration_ms).min(LEASE_LIMIT_MS)),
                holder: holder.clone(),
                offset: position.offset,
                term: *term,
            };
            leases::take_lease(state, position, name, *duration_ms, lease)
        }
        RecordBody::RehearsalScheduled {
            duration_ms,
            effect,
            operator,
            rehearsal_id,
            server_ids,
            service,
            start_delay_ms,
            state_before,
        } => {
            let starts_unix_ms = position.log_unix_ms.saturating_add(*start_delay_ms);
            let rehearsal = config_fold::Rehearsal {
                effect: *effect,
                ended_early: None,
                ends_unix_ms: starts_unix_ms.saturating_add(*duration_ms),
                offset: position.offset,
                operator: operator.clone(),
                server_ids: server_ids.clone(),
                service: service.clone(),
                starts_unix_ms,
                state_before: state_before.clone(),
            };
            rehearsals::schedule(state, in_force, rehearsal_id, rehearsal)
        }
        RecordBody::RehearsalEnded {
            reason,
            rehearsal_id,
            ..
        } => rehearsals::end_rehearsal(state, position, rehearsal_id, reason),
    }
}

fn apply_checkpoint(
    state: &mut config_fold::FoldState,
    position: RecordPosition,
    covers_offset: u64,
    checkpoint_state: &config_fold::FoldState,
) -> config_fold::FoldEvent {
    let is_usable =
        covers_offset < position.offset && checkpoint_state.next_offset == covers_offset + 1;
    if is_usable {
        state.oldest_needed_unix_ms = state
            .oldest_needed_unix_ms
            .max(checkpoint_state.log_unix_ms);
    }
    config_fold::FoldEvent::CheckpointTaken {
        covers_offset,
        offset: position.offset,
    }
}
