//! Rules for rehearsals.

use crate::bundle;
use crate::config_fold;
use crate::config_fold::rules;

/// Longest duration of a rehearsal, in milliseconds.
const REHEARSAL_LIMIT_MS: u64 = 3_600_000;

/// Number of most recent rehearsals that are kept.
const REHEARSAL_LIMIT_COUNT: usize = 256;

pub fn schedule(
    state: &mut config_fold::FoldState,
    in_force: Option<&bundle::Bundle>,
    rehearsal_id: &str,
    rehearsal: config_fold::Rehearsal,
) -> Result<config_fold::FoldEvent, config_fold::Rejection> {
    let rehearsal_id = rehearsal_id.to_owned();
    let duration_ms = rehearsal.ends_unix_ms - rehearsal.starts_unix_ms;
    if !(1..=REHEARSAL_LIMIT_MS).contains(&duration_ms) {
        let limit_ms = REHEARSAL_LIMIT_MS;
        return Err(config_fold::Rejection::RehearsalDuration { limit_ms });
    }
    check_names(in_force, &rehearsal)?;
    if state.rehearsals.contains_key(&rehearsal_id) {
        return Err(config_fold::Rejection::RehearsalTaken { rehearsal_id });
    }
    if state.rehearsals.len() >= REHEARSAL_LIMIT_COUNT {
        state.rehearsals.shift_remove_index(0);
    }
    state.rehearsals.insert(rehearsal_id.clone(), rehearsal);
    Ok(config_fold::FoldEvent::RehearsalScheduled { rehearsal_id })
}

/// Rejects a rehearsal of a service or server that the bundle in force does not
/// contain.
fn check_names(
    in_force: Option<&bundle::Bundle>,
    rehearsal: &config_fold::Rehearsal,
) -> Result<(), config_fold::Rejection> {
    let name = &rehearsal.service;
    let service = in_force.and_then(|bundle| bundle.services.get(name));
    let Some(service) = service else {
        let what = format!("service `{name}`");
        return Err(config_fold::Rejection::UnknownName { what });
    };
    let is_unknown = |id: &&String| !service.servers.contains_key(*id);
    if let Some(id) = rehearsal.server_ids.iter().find(is_unknown) {
        let what = format!("server `{id}` in service `{name}`");
        return Err(config_fold::Rejection::UnknownName { what });
    }
    Ok(())
}

pub fn end_rehearsal(
    state: &mut config_fold::FoldState,
    position: rules::RecordPosition,
    rehearsal_id: &str,
    reason: &str,
) -> Result<config_fold::FoldEvent, config_fold::Rejection> {
    let rehearsal_id = rehearsal_id.to_owned();
    match state.rehearsals.get_mut(&rehearsal_id) {
        Some(rehearsal)
            if rehearsal.ended_early.is_none() && position.log_unix_ms < rehearsal.ends_unix_ms =>
        {
            rehearsal.ended_early = Some(reason.to_owned());
            Ok(config_fold::FoldEvent::RehearsalEnded { rehearsal_id })
        }
        _ => Err(config_fold::Rejection::UnknownRehearsal { rehearsal_id }),
    }
}
