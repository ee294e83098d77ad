//! Parses settings in YAML.

use crate::bundle;
use crate::configs;
use crate::configs::settings_error;

/// Parses settings. `path` is used in error messages only.
///
/// # Errors
///
/// Returns an error that names the file, line and field, and the expected
/// value.
pub fn parse<T: serde::de::DeserializeOwned>(
    path: &str,
    text: &str,
) -> Result<T, configs::SettingsError> {
    serde_saphyr::from_str(text).map_err(|error| {
        let error = bundle::BundleError::from_parser(&error, text);
        settings_error::FieldSnafu {
            expected: error.expected,
            field: error.field,
            found: error.found,
            line: error.line,
            path,
        }
        .build()
    })
}

/// Returns the number of the line that sets the field, from 1, or 0 if the file
/// does not set it.
#[must_use]
pub fn line_of(text: &str, field: &str) -> u64 {
    let name = field.rsplit('.').next().unwrap_or(field);
    let sets_field = |line: &str| {
        let rest = line.trim_start().strip_prefix(name);
        rest.is_some_and(|rest| rest.trim_start().starts_with(':'))
    };
    let index = text.lines().position(sets_field);
    index.map_or(0, |index| index as u64 + 1)
}
