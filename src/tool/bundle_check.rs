//! `bundle check`: checks a bundle file.

use crate::bundle;
use crate::tool;
use crate::tool::{session, tool_error};

#[derive(Debug, gumdrop::Options)]
pub struct Options {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(free, required, help = "the bundle file")]
    pub file: String,
}

/// Checks the file and prints its number of services and routes and its digest.
pub fn run(options: &Options, session: &mut tool::Session<'_>) -> Result<(), tool::ToolError> {
    let (text, bundle) = load(&options.file)?;
    let digest = bundle::digest(&text);
    let (services, routes) = (bundle.services.len(), bundle.routes.len());
    session.print(&tool::CommandOutput {
        json: serde_json::json!({
            "digest": digest, "route_count": routes, "service_count": services,
        }),
        text: format!(
            "{}: valid; {services} services, {routes} routes, digest {digest}",
            options.file
        ),
    });
    Ok(())
}

/// Reads, parses and checks a bundle file.
pub fn load(file: &str) -> Result<(String, bundle::Bundle), tool::ToolError> {
    let text = session::read_file(file)?;
    let bundle = bundle::parse(&text).or_else(|error| {
        let reason = format!("{file}:{}:{}: {error}", error.line, error.column);
        tool_error::RefusedSnafu { reason }.fail()
    })?;
    let problems = bundle::check(&bundle);
    if problems.is_empty() {
        return Ok((text, bundle));
    }
    let problems: Vec<String> = problems.iter().map(ToString::to_string).collect();
    let reason = format!("{file}: {}", problems.join("\n  "));
    tool_error::RefusedSnafu { reason }.fail()
}
