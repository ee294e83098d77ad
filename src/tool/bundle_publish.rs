//! `bundle publish`: proposes a bundle file.

use crate::bundle;
use crate::config_fold;
use crate::tool;
use crate::tool::{bundle_check, session};

#[derive(Debug, gumdrop::Options)]
pub struct Options {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(free, required, help = "the bundle file")]
    pub file: String,
    #[options(
        no_short,
        help = "version that the file is based on; `none` for the first bundle (default: the version in force)"
    )]
    pub base: Option<String>,
    #[options(no_short, help = "name of the proposing operator (default: $USER)")]
    pub operator: Option<String>,
    #[options(
        no_short,
        help = "name of the new version (default: derived from offset and digest)"
    )]
    pub version: Option<String>,
}

/// Checks the file, appends the proposal to the log, and prints whether the
/// proposal was accepted.
pub async fn run(
    options: &Options,
    session: &mut tool::Session<'_>,
) -> Result<(), tool::ToolError> {
    let operator = session::operator(options.operator.as_deref())?;
    let (content, _) = bundle_check::load(&options.file)?;
    let digest = bundle::digest(&content);
    let view = session.view().await?;
    let base_version = match options.base.as_deref() {
        Some("none") => None,
        Some(base) => Some(base.to_owned()),
        None => view.version_in_force().map(str::to_owned),
    };
    let version = options
        .version
        .clone()
        .unwrap_or_else(|| format!("v{}-{}", view.fold.next_offset(), &digest[..8]));
    let body = config_fold::RecordBody::BundleProposed {
        base_version,
        bundle_version: version.clone(),
        content,
        digest: digest.clone(),
        operator,
    };
    let (offset, _) = session.append(body).await?;
    session.print(&tool::CommandOutput {
        json: serde_json::json!({ "bundle_version": version, "digest": digest, "offset": offset }),
        text: format!(
            "proposed bundle {version} at offset {offset}\n\
             next step, by another operator: foxtailwinch bundle sign-off {version}"
        ),
    });
    Ok(())
}
