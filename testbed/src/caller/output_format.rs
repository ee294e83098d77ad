//! Output format of a report.

use std::str;

/// Output format of a report.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum OutputFormat {
    /// A JSON object.
    Json,
    /// Lines of text.
    #[default]
    Text,
}

impl str::FromStr for OutputFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "json" => Ok(Self::Json),
            "text" => Ok(Self::Text),
            other => Err(format!("expected json or text, found {other}")),
        }
    }
}
