//! `bundle sign-off`: signs off a proposed bundle.

use crate::config_fold;
use crate::tool;
use crate::tool::session;

#[derive(Debug, gumdrop::Options)]
pub struct Options {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(free, required, help = "version of the bundle")]
    pub version: String,
    #[options(no_short, help = "name of the operator (default: $USER)")]
    pub operator: Option<String>,
}

/// Signs off the version.
pub async fn run(
    options: &Options,
    session: &mut tool::Session<'_>,
) -> Result<(), tool::ToolError> {
    let version = &options.version;
    let body = config_fold::RecordBody::SignedOff {
        bundle_version: version.clone(),
        operator: session::operator(options.operator.as_deref())?,
    };
    let (offset, _) = session.append(body).await?;
    session.print(&tool::CommandOutput {
        json: serde_json::json!({ "bundle_version": version, "offset": offset }),
        text: format!(
            "signed off bundle {version}\nnext step: foxtailwinch bundle roll-out {version}"
        ),
    });
    Ok(())
}
