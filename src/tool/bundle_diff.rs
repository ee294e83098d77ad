//! `bundle diff`: shows the changes that a bundle file makes.

use crate::bundle;
use crate::tool;
use crate::tool::bundle_check;

#[derive(Debug, gumdrop::Options)]
pub struct Options {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(free, required, help = "the bundle file")]
    pub file: String,
    #[options(
        no_short,
        help = "compare with this file instead of the bundle in force"
    )]
    pub with: Option<String>,
}

/// Compares the file with another bundle file or with the bundle in force.
pub async fn run(
    options: &Options,
    session: &mut tool::Session<'_>,
) -> Result<(), tool::ToolError> {
    let (_, after) = bundle_check::load(&options.file)?;
    let before = match &options.with {
        Some(file) => bundle_check::load(file)?.1,
        None => match session.view().await?.fold.in_force() {
            Some(in_force) => in_force.bundle.as_ref().clone(),
            None => bundle::Bundle::default(),
        },
    };
    let changes = bundle::diff(&before, &after);
    let lines: Vec<String> = changes.iter().map(ToString::to_string).collect();
    session.print(&tool::CommandOutput {
        json: serde_json::json!({ "changes": changes }),
        text: if lines.is_empty() {
            "no changes".to_owned()
        } else {
            lines.join("\n")
        },
    });
    Ok(())
}
