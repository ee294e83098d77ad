//! Reason why a record was rejected.

/// Reason why a record was rejected. A rejected record has no effect.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize, snafu::Snafu)]
#[serde(rename_all = "kebab-case", tag = "reason")]
pub enum Rejection {
    /// The bundle cannot be parsed, or is inconsistent or too large.
    #[snafu(display("bundle `{bundle_version}` is invalid: {problem}"))]
    BadBundle {
        /// Version of the bundle.
        bundle_version: String,
        /// Description of the problem, with its line or field.
        problem: String,
    },
    /// The roll-out has another base version than its proposal.
    #[snafu(display(
        "bundle `{bundle_version}` was proposed with another base version than the roll-out has"
    ))]
    BaseMismatch {
        /// Version of the bundle.
        bundle_version: String,
    },
    /// The content does not match its digest.
    #[snafu(display("the content of bundle `{bundle_version}` does not match its digest"))]
    DigestMismatch {
        /// Version of the bundle.
        bundle_version: String,
    },
    /// Another VM holds the lease.
    #[snafu(display(
        "lease `{name}` is held by {holder} in term {term} until Unix time {expires_unix_ms} ms"
    ))]
    LeaseHeld {
        /// Expiry of the lease, in milliseconds since the Unix epoch by the
        /// log's clock.
        expires_unix_ms: u64,
        /// Holder of the lease: the VM with its incarnation.
        holder: String,
        /// Name of the lease.
        name: String,
        /// Current term of the lease.
        term: u64,
    },
    /// The term is too low: a new holder needs a higher term than the last one.
    #[snafu(display("a new holder of lease `{name}` needs a term higher than {term}"))]
    LeaseTermTooLow {
        /// Name of the lease.
        name: String,
        /// Last term of the lease.
        term: u64,
    },
    /// No operator other than the proposer has signed off the bundle.
    #[snafu(display("bundle `{bundle_version}` is not signed off by a second operator"))]
    NotSignedOff {
        /// Version of the bundle.
        bundle_version: String,
    },
    /// The duration of the rehearsal is zero or exceeds the limit.
    #[snafu(display("the duration of a rehearsal must be 1 to {limit_ms} ms"))]
    RehearsalDuration {
        /// Longest permitted duration, in milliseconds.
        limit_ms: u64,
    },
    /// The rehearsal id is already in use.
    #[snafu(display("rehearsal `{rehearsal_id}` already exists"))]
    RehearsalTaken {
        /// Id of the rehearsal.
        rehearsal_id: String,
    },
    /// The proposer tried to sign off their own bundle.
    #[snafu(display(
        "operator {operator} proposed bundle `{bundle_version}`; another one must sign it off"
    ))]
    SignOffByProposer {
        /// Version of the bundle.
        bundle_version: String,
        /// Operator who proposed the bundle.
        operator: String,
    },
    /// The base version of the bundle is not in force, because another version
    /// was rolled out first.
    #[snafu(display(
        "the base of bundle `{bundle_version}` is not in force: {} won; \
         propose the change again on top of it",
        version_in_force.as_deref().unwrap_or("no bundle")
    ))]
    StaleBase {
        /// Version of the bundle.
        bundle_version: String,
        /// Version in force, or `None` if no bundle is in force.
        #[serde(rename = "winner")]
        version_in_force: Option<String>,
    },
    /// The state already holds the largest permitted number of items.
    #[snafu(display("there are too many {what}"))]
    TooMany {
        /// Kind of the items, in the plural.
        what: String,
    },
    /// The rehearsal names a service or server that the bundle in force does not
    /// contain.
    #[snafu(display("the bundle in force has no {what}"))]
    UnknownName {
        /// Kind and name of the unknown item.
        what: String,
    },
    /// The rehearsal does not exist or has already ended.
    #[snafu(display("rehearsal `{rehearsal_id}` does not exist or has already ended"))]
    UnknownRehearsal {
        /// Id of the rehearsal.
        rehearsal_id: String,
    },
    /// The state has no proposal of this version: it was never accepted, or has
    /// been removed since.
    #[snafu(display("bundle `{bundle_version}` is unknown"))]
    UnknownVersion {
        /// Version of the bundle.
        bundle_version: String,
    },
    /// The version id is already in use.
    #[snafu(display("version `{bundle_version}` already exists"))]
    VersionTaken {
        /// Version of the bundle.
        bundle_version: String,
    },
}
