//! Reason why a configuration state was refused.

/// Reason why a configuration state from a checkpoint or snapshot was refused.
#[derive(Clone, Debug, Eq, PartialEq, snafu::Snafu)]
#[snafu(visibility(pub(super)))]
pub enum SnapshotError {
    /// A bundle cannot be parsed, is inconsistent or does not match its digest.
    #[snafu(display("invalid bundle: {problem}"))]
    BadBundle {
        /// Description of the problem.
        problem: String,
    },
    /// Fields of the state contradict each other, or the checkpoint does not cover
    /// the gap.
    #[snafu(display("inconsistent state: {problem}"))]
    Inconsistent {
        /// Description of the problem.
        problem: String,
    },
    /// The state is not newer than the current one, or has an older bundle in
    /// force.
    #[snafu(display("the state is not newer than the current one: {problem}"))]
    Older {
        /// Description of what is older.
        problem: String,
    },
}
