//! `rehearsal schedule`: schedules a rehearsal.

use crate::config_fold;
use crate::tool;
use crate::tool::session;

#[derive(Debug, gumdrop::Options)]
pub struct Options {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(
        no_short,
        required,
        help = "duration of the rehearsal, in milliseconds"
    )]
    pub duration_ms: u64,
    #[options(
        no_short,
        help = "id of the rehearsal (default: derived from the offset)"
    )]
    pub id: Option<String>,
    #[options(no_short, help = "name of the operator (default: $USER)")]
    pub operator: Option<String>,
    #[options(
        no_short,
        required,
        help = "ids of the servers to drain, separated by commas"
    )]
    pub servers: String,
    #[options(no_short, required, help = "name of the service")]
    pub service: String,
    #[options(
        no_short,
        default = "0",
        help = "time until the start, in milliseconds"
    )]
    pub start_delay_ms: u64,
}

/// Schedules the rehearsal and records the fleet's current state with it.
pub async fn run(
    options: &Options,
    session: &mut tool::Session<'_>,
) -> Result<(), tool::ToolError> {
    let operator = session::operator(options.operator.as_deref())?;
    let view = session.view().await?;
    let rehearsal_id = options
        .id
        .clone()
        .unwrap_or_else(|| format!("rehearsal-{}", view.fold.next_offset()));
    let state_before = session.fleet_state().await;
    let is_state_recorded = state_before.is_some();
    let body = config_fold::RecordBody::RehearsalScheduled {
        duration_ms: options.duration_ms,
        effect: config_fold::RehearsalEffect::DrainServers,
        operator,
        rehearsal_id: rehearsal_id.clone(),
        server_ids: options.servers.split(',').map(str::to_owned).collect(),
        service: options.service.clone(),
        start_delay_ms: options.start_delay_ms,
        state_before,
    };
    let (offset, _) = session.append(body).await?;
    let state_message = if is_state_recorded {
        "the current state is recorded for the report"
    } else {
        "no VM responded, so the report will lack the state before the rehearsal"
    };
    session.print(&tool::CommandOutput {
        json: serde_json::json!({
            "offset": offset, "rehearsal_id": rehearsal_id, "state_before_noted": is_state_recorded,
        }),
        text: format!("scheduled {rehearsal_id} at offset {offset}; {state_message}"),
    });
    Ok(())
}
