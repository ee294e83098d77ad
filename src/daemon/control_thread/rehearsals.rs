//! Rehearsals: which servers get no new work now, derived from the log.

use crate::config_fold;
use crate::daemon;
use crate::telemetry;

/// Gives the servers of a service that rehearsals keep new work from at
/// `log_unix_ms`, in milliseconds since the Unix epoch by the log's clock.
///
/// A rehearsal ends by time alone, whoever has vanished. The floor goes before
/// it: of `healthy_servers`, as many as the floor keep their work.
#[must_use]
pub fn rehearsed_servers(
    state: &config_fold::FoldState,
    service_name: &str,
    definition: &crate::bundle::Service,
    healthy_servers: usize,
    log_unix_ms: u64,
) -> indexmap::IndexSet<String> {
    let running = state
        .rehearsals
        .values()
        .filter(|rehearsal| rehearsal.service == service_name)
        .filter(|rehearsal| rehearsal.is_running_at(log_unix_ms));
    let floor_servers = usize::try_from(definition.floor_servers).unwrap_or(usize::MAX);
    let budget = healthy_servers.saturating_sub(floor_servers);
    running
        .flat_map(|rehearsal| rehearsal.server_ids.iter())
        .filter(|server_id| definition.servers.contains_key(*server_id))
        .take(budget)
        .cloned()
        .collect()
}

/// Applies the rehearsals of all services.
pub fn apply(
    state: &config_fold::FoldState,
    configuration: &daemon::Configuration,
    log_unix_ms: u64,
) {
    let bundle = &configuration.in_force.bundle;
    for (name, runtime) in &configuration.services {
        let Some(definition) = bundle.services.get(name) else {
            continue;
        };
        let healthy = runtime.healthy_server_count();
        let rehearsed = rehearsed_servers(state, name, definition, healthy, log_unix_ms);
        if runtime.set_rehearsal_servers(&rehearsed) {
            let ids: Vec<&str> = rehearsed.iter().map(String::as_str).collect();
            let message = format!("{name}: rehearsed servers: [{}]", ids.join(", "));
            telemetry::Event::RehearsalChanged.info(&message);
        }
    }
}
