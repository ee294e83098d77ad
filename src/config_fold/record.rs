//! A record of the configuration stream.

use snafu::ResultExt as _;

use crate::config_fold;
use crate::config_fold::record_error;

/// A record of the configuration stream.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Record {
    /// What the record says.
    #[serde(flatten)]
    pub body: config_fold::RecordBody,
    /// Format of the record.
    pub format_version: u32,
    /// Unique id, chosen by the appender.
    pub record_id: String,
}

#[derive(serde::Deserialize)]
struct Header {
    format_version: u32,
    kind: String,
}

const KNOWN_KINDS: [&str; 7] = [
    "bundle-proposed",
    "checkpoint",
    "lease-taken",
    "rehearsal-ended",
    "rehearsal-scheduled",
    "rolled-out",
    "signed-off",
];

impl Record {
    /// Newest format of records that this program knows.
    pub const FORMAT_VERSION: u32 = 1;

    /// Gives a record of the newest format.
    #[must_use]
    pub const fn new(record_id: String, body: config_fold::RecordBody) -> Self {
        Self {
            body,
            format_version: Self::FORMAT_VERSION,
            record_id,
        }
    }

    /// Parses the body of a stored record.
    ///
    /// # Errors
    ///
    /// Fails if the body is malformed, or has a kind or format that this
    /// program does not know.
    pub fn parse(body: &str) -> Result<Self, config_fold::RecordError> {
        let header: Header = serde_json::from_str(body).context(record_error::MalformedSnafu)?;
        if !KNOWN_KINDS.contains(&header.kind.as_str()) {
            return record_error::UnknownKindSnafu { kind: header.kind }.fail();
        }
        if !(1..=Self::FORMAT_VERSION).contains(&header.format_version) {
            return record_error::UnknownFormatSnafu {
                format_version: header.format_version,
                known: Self::FORMAT_VERSION,
            }
            .fail();
        }
        serde_json::from_str(body).context(record_error::MalformedSnafu)
    }

    /// Gives the body to append.
    ///
    /// # Panics
    ///
    /// Never: every field of a record has a form in JSON.
    #[must_use]
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("a record has a form in JSON")
    }
}
