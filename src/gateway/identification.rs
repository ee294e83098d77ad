//! Identification of the organisation that a request comes from.

use crate::gateway;
use crate::ports;

/// Age of the configuration's last confirmation up to which an unknown key is refused
/// for good, in milliseconds.
const MAX_CONFIRMATION_AGE_MS: u64 = 1_500;

/// Facts by which the organisation of a request is identified.
#[derive(Clone, Copy, Debug)]
pub struct IdentificationRequest {
    /// Time since the configuration was last known to be the newest, in milliseconds;
    /// `None` if it never was.
    pub confirmation_age_ms: Option<u64>,
    /// Whether the route serves requests without a key.
    pub is_public: bool,
    /// Digest of the caller's key; `None` if it sent none.
    pub key: Option<ports::KeyDigest>,
    /// Newest version of the configuration that this VM has or has heard of.
    pub newest_known_version: u64,
}

/// Result of the identification of a request's organisation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Identification<'a> {
    /// The key belongs to this organisation.
    Organisation(&'a ports::Organisation),
    /// The request is served without an organisation.
    NoOrganisation,
    /// The newest configuration does not contain the key.
    KeyUnknown,
    /// The configuration in force does not contain the key, but a newer one may.
    ConfigurationOutdated,
}

/// Identifies the organisation of a request by the configuration in force.
///
/// A known key is accepted however old the configuration is, so that a VM that is cut
/// off goes on serving its callers.
#[must_use]
pub fn identify<'a>(
    routes: &'a gateway::RouteIndex,
    request: &IdentificationRequest,
) -> Identification<'a> {
    if routes.organisations.is_empty() {
        return Identification::NoOrganisation;
    }
    let key = request.key.as_ref();
    let organisation = key.and_then(|key| routes.organisations.find_by_digest(key));
    if let Some(organisation) = organisation {
        return Identification::Organisation(organisation);
    }
    if request.is_public {
        return Identification::NoOrganisation;
    }
    let age_ms = request.confirmation_age_ms;
    let is_confirmed = age_ms.is_some_and(|age_ms| age_ms <= MAX_CONFIRMATION_AGE_MS);
    if is_confirmed && request.newest_known_version <= routes.configuration.version {
        Identification::KeyUnknown
    } else {
        Identification::ConfigurationOutdated
    }
}
