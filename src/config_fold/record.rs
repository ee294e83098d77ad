//! Record of the configuration stream.

use snafu::ResultExt as _;

use crate::config_fold;
use crate::config_fold::record_error;

/// Record of the configuration stream.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Record {
    /// Kind and content of the record.
    #[serde(flatten)]
    pub body: config_fold::RecordBody,
    /// Version of the record format.
    pub format_version: u32,
    /// Unique id, chosen by the program that appends the record. A record that is
    /// appended twice keeps its id, so that the duplicate is detected.
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
    /// Newest record format that this program supports.
    pub const FORMAT_VERSION: u32 = 1;

    /// Creates a record in the newest format.
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
    /// Returns an error if the body is malformed, or has a kind or format that
    /// this program does not support.
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

    /// Serialises the record to the body to append.
    ///
    /// # Panics
    ///
    /// Never panics: every field of a record can be serialised to JSON.
    #[must_use]
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("every record can be serialised to JSON")
    }
}
