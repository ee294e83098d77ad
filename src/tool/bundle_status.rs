//! `bundle status`: shows the bundle in force and the open proposals.

use crate::config_fold;
use crate::tool;
use crate::tool::table;

#[derive(Debug, gumdrop::Options)]
pub struct Options {
    #[options(help = "print this help")]
    pub help: bool,
}

/// Shows the bundle in force and the proposals that are not signed off or not
/// rolled out.
pub async fn run(session: &mut tool::Session<'_>) -> Result<(), tool::ToolError> {
    let view = session.view().await?;
    let state = view.fold.state();
    let is_open = |version: &str| Some(version) != state.current_version();
    let open: Vec<_> = state
        .proposals
        .iter()
        .filter(|(version, _)| is_open(version))
        .collect();
    let proposals: Vec<serde_json::Value> = open.iter().map(|(v, p)| to_json(v, p)).collect();
    let rows: Vec<Vec<String>> = open.iter().map(|(v, p)| to_row(v, p)).collect();
    let in_force = match state.current_rollout() {
        Some(rollout) => format!(
            "in force: {} from offset {} on, rolled out by {}",
            rollout.bundle_version, rollout.offset, rollout.operator
        ),
        None => "in force: no bundle".to_owned(),
    };
    let header = ["PROPOSED", "BASE", "OPERATOR", "SIGNED OFF BY"];
    let text = if rows.is_empty() {
        format!("{in_force}\nno open proposals")
    } else {
        format!("{in_force}\n{}", table::render(&header, &rows))
    };
    session.print(&tool::CommandOutput {
        json: serde_json::json!({
            "in_force": state.current_rollout(),
            "next_offset": state.next_offset,
            "proposals": proposals,
        }),
        text,
    });
    Ok(())
}

fn to_json(version: &str, proposal: &config_fold::Proposal) -> serde_json::Value {
    serde_json::json!({
        "base_version": proposal.base_version,
        "bundle_version": version,
        "digest": proposal.digest,
        "offset": proposal.offset,
        "operator": proposal.operator,
        "signed_off_by": proposal.signed_off_by,
    })
}

fn to_row(version: &str, proposal: &config_fold::Proposal) -> Vec<String> {
    vec![
        version.to_owned(),
        proposal.base_version.clone().unwrap_or_default(),
        proposal.operator.clone(),
        proposal.signed_off_by.join(","),
    ]
}
