//! `fleet status`: shows the status of every VM.

use crate::tool;
use crate::tool::table;

#[derive(Debug, gumdrop::Options)]
pub struct Options {
    #[options(help = "print this help")]
    pub help: bool,
}

/// Shows the status of every VM, and the error for each VM that returned none.
pub async fn run(session: &mut tool::Session<'_>) -> Result<(), tool::ToolError> {
    let (statuses, unavailable) = session.vm_statuses().await?;
    let rows: Vec<Vec<String>> = statuses.iter().map(to_row).collect();
    let header = [
        "VM",
        "ZONE",
        "VERSION",
        "OFFSET",
        "IN FLIGHT",
        "EJECTED",
        "STATE",
    ];
    let unavailable_lines = unavailable
        .iter()
        .map(|(name, reason)| format!("{name}: status unavailable: {reason}\n"));
    let text = table::render(&header, &rows) + &unavailable_lines.collect::<String>();
    session.print(&tool::CommandOutput {
        json: serde_json::json!({ "silent": unavailable, "vms": statuses }),
        text,
    });
    Ok(())
}

fn to_row(status: &tool::VmStatus) -> Vec<String> {
    let ejected = status
        .ejections
        .iter()
        .map(|ejection| format!("{}/{}", ejection.service, ejection.server));
    vec![
        status.vm_id.clone(),
        status.availability_zone.clone(),
        status.configuration_version.clone().unwrap_or_default(),
        status
            .configuration_offset
            .map(|offset| offset.to_string())
            .unwrap_or_default(),
        status.in_flight_requests.to_string(),
        ejected.collect::<Vec<_>>().join(","),
        if status.leaving { "leaving" } else { "serving" }.to_owned(),
    ]
}
