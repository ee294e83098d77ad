//! Why the platform's store gave no answer that can be used.

/// Why the platform's store gave no answer that can be used.
#[derive(Clone, Debug, Eq, PartialEq, snafu::Snafu)]
#[snafu(visibility(pub))]
pub enum StoreError {
    /// The records asked for are no longer kept.
    #[snafu(display("history is kept from offset {first_offset} only"))]
    HistoryGone {
        /// The oldest offset that is kept.
        first_offset: u64,
    },
    /// The answer cannot be read.
    #[snafu(display("unreadable answer: {detail}"))]
    Invalid {
        /// What is wrong with it.
        detail: String,
    },
    /// The store refused the call and did nothing.
    #[snafu(display("refused with status {status}"))]
    Refused {
        /// The HTTP status.
        status: u16,
    },
    /// No answer: a call that writes may have taken effect.
    #[snafu(display("no answer: {detail}"))]
    Unanswered {
        /// What the connection said.
        detail: String,
    },
}
