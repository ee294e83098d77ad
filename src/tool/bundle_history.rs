//! `bundle history`: lists past roll-outs.

use crate::tool;
use crate::tool::table;

#[derive(Debug, gumdrop::Options)]
pub struct Options {
    #[options(help = "print this help")]
    pub help: bool,
}

/// Lists past roll-outs, oldest first.
pub async fn run(session: &mut tool::Session<'_>) -> Result<(), tool::ToolError> {
    let view = session.view().await?;
    let rollouts = &view.fold.state().rollouts;
    let row = |rollout: &crate::config_fold::Rollout| {
        vec![
            rollout.offset.to_string(),
            rollout.bundle_version.clone(),
            rollout.base_version.clone().unwrap_or_default(),
            rollout.operator.clone(),
            rollout.appended_unix_ms.to_string(),
            rollout.digest.chars().take(12).collect(),
        ]
    };
    let rows: Vec<Vec<String>> = rollouts.iter().map(row).collect();
    let header = ["OFFSET", "VERSION", "BASE", "OPERATOR", "UNIX_MS", "DIGEST"];
    session.print(&tool::CommandOutput {
        json: serde_json::json!({ "rollouts": rollouts }),
        text: table::render(&header, &rows),
    });
    Ok(())
}
