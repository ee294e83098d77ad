//! `rehearsal report`: compares the fleet's state before and after a rehearsal.

use crate::config_fold;
use crate::tool;
use crate::tool::tool_error;

#[derive(Debug, gumdrop::Options)]
pub struct Options {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(free, required, help = "id of the rehearsal")]
    pub id: String,
}

/// Compares the current state of the fleet with the state recorded when the
/// rehearsal was scheduled.
pub async fn run(
    options: &Options,
    session: &mut tool::Session<'_>,
) -> Result<(), tool::ToolError> {
    let view = session.view().await?;
    let Some(rehearsal) = view.fold.state().rehearsals.get(&options.id) else {
        let reason = format!("there is no rehearsal with the id `{}`", options.id);
        return tool_error::RefusedSnafu { reason }.fail();
    };
    let after = session.fleet_state().await;
    let rollouts = view.fold.state().rollouts.iter();
    let rollouts_since = rollouts.filter(|rollout| rollout.offset > rehearsal.offset);
    let rolled_out: Vec<&str> = rollouts_since
        .map(|rollout| rollout.bundle_version.as_str())
        .collect();
    let differences = match (&rehearsal.state_before, &after) {
        (Some(before), Some(after)) => Some(compare(before, after)),
        _ => None,
    };
    session.print(&tool::CommandOutput {
        json: serde_json::json!({
            "after": after, "before": rehearsal.state_before, "differences": differences,
            "ended_early": rehearsal.ended_early, "rehearsal_id": options.id,
            "rolled_out_since": rolled_out,
        }),
        text: render(&options.id, rehearsal, differences.as_deref(), &rolled_out),
    });
    Ok(())
}

fn compare(before: &config_fold::FleetState, after: &config_fold::FleetState) -> Vec<String> {
    let mut differences = Vec::new();
    let mut add_if_changed = |label: &str, before: String, after: String| {
        if before != after {
            differences.push(format!("{label}: {before} before, {after} after"));
        }
    };
    add_if_changed(
        "configuration versions",
        join_names(&before.configuration_versions),
        join_names(&after.configuration_versions),
    );
    add_if_changed(
        "ejected servers",
        join_names(&before.ejected_servers),
        join_names(&after.ejected_servers),
    );
    add_if_changed(
        "VMs that answer",
        before.vm_count.to_string(),
        after.vm_count.to_string(),
    );
    differences
}

fn join_names(names: &[String]) -> String {
    if names.is_empty() {
        return "none".to_owned();
    }
    names.join(",")
}

fn render(
    id: &str,
    rehearsal: &config_fold::Rehearsal,
    differences: Option<&[String]>,
    rolled_out: &[&str],
) -> String {
    let end = match &rehearsal.ended_early {
        Some(reason) => format!("ended early: {reason}"),
        None => format!("ends at {} ms", rehearsal.ends_unix_ms),
    };
    let mut lines = vec![format!("{id} on {}: {end}", rehearsal.service)];
    match differences {
        None => lines.push("state before or after unknown: no VM answered".to_owned()),
        Some([]) => lines.push("the fleet is as it was before".to_owned()),
        Some(differences) => lines.extend(differences.iter().cloned()),
    }
    if !rolled_out.is_empty() {
        lines.push(format!("rolled out since: {}", rolled_out.join(",")));
    }
    lines.join("\n")
}
