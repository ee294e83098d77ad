//! Error in a settings file.

/// Error in a settings file.
#[derive(Debug, snafu::Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SettingsError {
    /// A field is unknown, missing or has an invalid value.
    #[snafu(display("{path}: line {line}, field `{field}`: {found}; expected {expected}"))]
    Field {
        /// Description of valid values.
        expected: String,
        /// Path of the field in the file, such as `claims.retention_ms`.
        field: String,
        /// Value found in the file, or the parser's error.
        found: String,
        /// Line number, from 1; 0 if the field is not in the file.
        line: u64,
        /// Path of the settings file.
        path: String,
    },
    /// The file cannot be read.
    #[snafu(display("cannot read {path}: {source}"))]
    Read {
        /// Path of the settings file.
        path: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
}
