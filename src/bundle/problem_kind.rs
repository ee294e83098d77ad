//! Kind of a problem in a parsed bundle.

/// Kind of a problem in a parsed bundle.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProblemKind {
    /// Two servers, of the same or of different services, share an address.
    AddressTwice,
    /// A path prefix that matches no request.
    BadPathPrefix,
    /// A name that is empty or contains spaces, control characters or non-ASCII
    /// characters.
    BadName,
    /// A method that is neither `*` nor a word of upper-case ASCII letters.
    BadMethod,
    /// The floor of a service exceeds its number of servers.
    FloorAboveServers,
    /// The bundle has no service.
    NoService,
    /// A service has no backend server.
    NoServer,
    /// A number is outside its range.
    OutOfRange,
    /// Two routes match the same requests.
    RouteTwice,
    /// A route refers to a service that is not in the bundle.
    UnknownService,
}
