//! Rehearsals: derives from the log which servers currently receive no new
//! requests.

use crate::config_fold;
use crate::daemon;
use crate::telemetry;

/// Returns the servers of a service that receive no new requests because of
/// rehearsals at `log_unix_ms`, in milliseconds since the Unix epoch by the
/// log's clock.
///
/// A rehearsal ends by time alone, so it ends even if the operator or any VM is
/// unreachable. The floor takes precedence: at least as many of the
/// `healthy_servers` as the floor requires continue to receive requests.
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

/// Applies the rehearsals that are running at `log_unix_ms` to all services.
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
            let message = format!("{name}: servers in rehearsal: [{}]", ids.join(", "));
            telemetry::Event::RehearsalChanged.info(&message);
        }
    }
}
