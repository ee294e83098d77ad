//! `rehearsal list`: lists rehearsals.

use crate::config_fold;
use crate::tool;
use crate::tool::table;

#[derive(Debug, gumdrop::Options)]
pub struct Options {
    #[options(help = "print this help")]
    pub help: bool,
}

/// Lists rehearsals, oldest first.
pub async fn run(session: &mut tool::Session<'_>) -> Result<(), tool::ToolError> {
    let view = session.view().await?;
    let rehearsals = &view.fold.state().rehearsals;
    let row = |(id, rehearsal): (&String, &config_fold::Rehearsal)| {
        vec![
            id.clone(),
            rehearsal.service.clone(),
            rehearsal.server_ids.join(","),
            rehearsal.starts_unix_ms.to_string(),
            rehearsal.ends_unix_ms.to_string(),
            rehearsal.ended_early.clone().unwrap_or_default(),
        ]
    };
    let rows: Vec<Vec<String>> = rehearsals.iter().map(row).collect();
    let header = ["ID", "SERVICE", "SERVERS", "STARTS", "ENDS", "ENDED EARLY"];
    session.print(&tool::CommandOutput {
        json: serde_json::json!({ "rehearsals": rehearsals }),
        text: table::render(&header, &rows),
    });
    Ok(())
}
