//! `bundle roll-out`: puts a bundle in force and waits until all VMs apply it.

use std::time;

use crate::config_fold;
use crate::tool;
use crate::tool::{session, tool_error};

#[derive(Debug, gumdrop::Options)]
pub struct Options {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(free, required, help = "version of the bundle")]
    pub version: String,
    #[options(no_short, help = "name of the operator (default: $USER)")]
    pub operator: Option<String>,
    #[options(
        no_short,
        default = "15000",
        help = "time to wait for the VMs, in milliseconds; 0 does not wait"
    )]
    pub wait_ms: u64,
}

/// Rolls the version out and prints the number of VMs on which it is in force.
pub async fn run(
    options: &Options,
    session: &mut tool::Session<'_>,
) -> Result<(), tool::ToolError> {
    let operator = session::operator(options.operator.as_deref())?;
    let view = session.view().await?;
    let proposal = view.fold.state().proposals.get(&options.version);
    let base_version = match proposal {
        Some(proposal) => proposal.base_version.clone(),
        None => view.version_in_force().map(str::to_owned),
    };
    let body = config_fold::RecordBody::RolledOut {
        base_version,
        bundle_version: options.version.clone(),
        operator,
    };
    let (offset, _) = session.append(body).await?;
    let version = &options.version;
    session.print(&tool::CommandOutput {
        json: serde_json::json!({ "bundle_version": version, "offset": offset }),
        text: format!("accepted: bundle {version} is in force from offset {offset} on"),
    });
    if options.wait_ms == 0 {
        return Ok(());
    }
    watch(options, offset, session).await
}

async fn watch(
    options: &Options,
    offset: u64,
    session: &mut tool::Session<'_>,
) -> Result<(), tool::ToolError> {
    let started = time::Instant::now();
    let mut last_count = None;
    loop {
        let lagging = match session.vm_statuses().await {
            Ok((statuses, unavailable)) => {
                let lagging = find_lagging(&statuses, &unavailable, offset);
                let total = statuses.len() + unavailable.len();
                let count = total - lagging.len();
                if last_count != Some(count) {
                    print_progress(session, started, count, total);
                    last_count = Some(count);
                }
                lagging
            }
            Err(error) => vec![format!(
                "unknown VMs, because the VM list cannot be read ({error})"
            )],
        };
        if lagging.is_empty() {
            return Ok(());
        }
        if started.elapsed() >= time::Duration::from_millis(options.wait_ms) {
            let reason = format!(
                "the roll-out is accepted, but not confirmed on: {}; \
                 check with `fleet status`",
                lagging.join(", ")
            );
            return tool_error::OutcomeUnknownSnafu { reason }.fail();
        }
        tokio::time::sleep(session.poll_interval).await;
    }
}

fn find_lagging(
    statuses: &[tool::VmStatus],
    unavailable: &[(String, String)],
    offset: u64,
) -> Vec<String> {
    let behind = statuses
        .iter()
        .filter(|status| !status.leaving && status.configuration_offset < Some(offset))
        .map(|status| status.vm_id.clone());
    let unavailable = unavailable
        .iter()
        .map(|(name, reason)| format!("{name} ({reason})"));
    behind.chain(unavailable).collect()
}

fn print_progress(
    session: &mut tool::Session<'_>,
    started: time::Instant,
    count: usize,
    total: usize,
) {
    let elapsed_ms = started.elapsed().as_millis();
    session.print(&tool::CommandOutput {
        json: serde_json::json!({
            "elapsed_ms": u64::try_from(elapsed_ms).unwrap_or(u64::MAX),
            "in_force_vm_count": count, "vm_count": total,
        }),
        text: format!("in force on {count} of {total} VMs after {elapsed_ms} ms"),
    });
}
