//! Error of a call to the platform's store.

/// Error of a call to the platform's store.
#[derive(Clone, Debug, Eq, PartialEq, snafu::Snafu)]
#[snafu(visibility(pub))]
pub enum StoreError {
    /// The store no longer has the requested records.
    #[snafu(display("history before offset {first_offset} is gone"))]
    HistoryGone {
        /// Oldest offset that the store still has.
        first_offset: u64,
    },
    /// The response, or the record to be written, is invalid.
    #[snafu(display("invalid data: {detail}"))]
    Invalid {
        /// Description of the problem.
        detail: String,
    },
    /// The store has returned from an older copy of its records. Offsets of the earlier
    /// era mean nothing any more.
    #[snafu(display("store has returned from a copy, era {era}"))]
    Restored {
        /// Era of the store now.
        era: u64,
    },
    /// The store refused the call and did not execute it.
    #[snafu(display("store refused the call with status {status}"))]
    Refused {
        /// HTTP status of the response.
        status: u16,
    },
    /// The store did not respond. A call that writes may have taken effect.
    #[snafu(display("no response from the store: {detail}"))]
    NoResponse {
        /// Error of the connection.
        detail: String,
    },
}
