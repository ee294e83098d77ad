//! Output format of results.

use std::str;

/// Output format of results.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum OutputFormat {
    /// One JSON value per line.
    Json,
    /// Text for operators.
    #[default]
    Text,
}

impl str::FromStr for OutputFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "json" => Ok(Self::Json),
            "text" => Ok(Self::Text),
            other => Err(format!("`{other}` is neither json nor text")),
        }
    }
}
