//! Errors of an append to the log.

/// Errors of an append to the log.
#[derive(Debug, Eq, PartialEq, snafu::Snafu)]
pub enum AppendError {
    /// The record is larger than the limit.
    #[snafu(display(
        "record of {size_bytes} bytes is larger than the limit of {limit_bytes} bytes"
    ))]
    TooLarge {
        /// Largest allowed size of a record, in bytes.
        limit_bytes: usize,
        /// Size of the rejected record, in bytes.
        size_bytes: usize,
    },
    /// The rate limit of appends is reached.
    #[snafu(display("more than {rate_per_s} appends per second"))]
    TooManyAppends {
        /// Appends allowed per second.
        rate_per_s: u32,
    },
}
