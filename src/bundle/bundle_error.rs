//! Error in the text of a bundle.

use crate::bundle::field_path;

/// Error in the text of a bundle, with its location and the expected content.
#[derive(Clone, Debug, Eq, PartialEq, snafu::Snafu)]
#[snafu(display("line {line}, column {column}, field `{field}`: {found}; expected {expected}"))]
pub struct BundleError {
    /// Column, starting at 1; 0 if unknown.
    pub column: u64,
    /// Expected content.
    pub expected: String,
    /// Path of the field, such as `services.orders.floor_servers`; `.` is the
    /// bundle itself.
    pub field: String,
    /// Content that was found instead.
    pub found: String,
    /// Line, starting at 1; 0 if unknown.
    pub line: u64,
}

impl BundleError {
    /// Converts an error of the YAML parser about `text`.
    pub(crate) fn from_parser(error: &serde_saphyr::Error, text: &str) -> Self {
        let error = error.without_snippet();
        let location = error.location();
        let line = location.map_or(0, |location| location.line());
        let (found, expected) = describe(error);
        let mut field = field_path::at_line(text, line);
        if let serde_saphyr::Error::SerdeMissingField { field: missing, .. } = error {
            // The parser reports the location of a sibling of the missing
            // field.
            let parent = field.rsplit_once('.').map_or("", |(parent, _)| parent);
            field = format!("{parent}.{missing}");
        }
        Self {
            column: location.map_or(0, |location| location.column()),
            expected,
            field,
            found,
            line,
        }
    }
}

fn describe(error: &serde_saphyr::Error) -> (String, String) {
    use serde_saphyr::Error;
    match error {
        Error::SerdeUnknownField {
            field, expected, ..
        } => (format!("unknown field `{field}`"), one_of(expected)),
        Error::SerdeUnknownVariant {
            variant, expected, ..
        } => (format!("unknown value `{variant}`"), one_of(expected)),
        Error::SerdeMissingField { field, .. } => {
            ("missing field".to_owned(), format!("field `{field}`"))
        }
        Error::SerdeInvalidType {
            unexpected,
            expected,
            ..
        }
        | Error::SerdeInvalidValue {
            unexpected,
            expected,
            ..
        } => (unexpected.clone(), expected.clone()),
        Error::InvalidScalar { ty, .. } => ("a value of another type".to_owned(), (*ty).to_owned()),
        Error::Unexpected { expected, .. } => (
            "an unexpected YAML element".to_owned(),
            (*expected).to_owned(),
        ),
        Error::DuplicateMappingKey { key, .. } => (
            format!("duplicate key `{}`", key.as_deref().unwrap_or("?")),
            "unique keys".to_owned(),
        ),
        Error::Message { msg, .. } => (msg.clone(), "a value of the field's type".to_owned()),
        other => (other.to_string(), "a bundle in YAML".to_owned()),
    }
}

fn one_of(names: &[&'static str]) -> String {
    format!("one of {}", names.join(", "))
}
