//! Bundle: the configuration that operators publish as one document.

use crate::bundle;

/// Complete configuration of the operators. It is published, signed off and
/// rolled out as one document.
#[derive(Clone, Debug, Default, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Bundle {
    /// Limits of every organisation that is not in `organisation_limits`.
    pub default_organisation_limit: bundle::OrganisationLimit,
    /// Limits by organisation id.
    pub organisation_limits: indexmap::IndexMap<String, bundle::OrganisationLimit>,
    /// Routes; among the matching routes, the one with the longest path prefix
    /// takes precedence.
    pub routes: Vec<bundle::Route>,
    /// Services by name.
    pub services: indexmap::IndexMap<String, bundle::Service>,
}

/// Maximum number of YAML nodes in a bundle. It leaves a reserve beyond 200,000
/// servers with ten nodes each and 44,000 routes.
const NODE_LIMIT: usize = 4_000_000;

/// Parses a bundle.
///
/// # Errors
///
/// Returns the line, the column, the field and the expected content if `text`
/// is not a bundle. [`bundle::check`] finds contradictions between fields.
pub fn parse(text: &str) -> Result<Bundle, bundle::BundleError> {
    let options = serde_saphyr::options! {
        budget: serde_saphyr::budget! {
            max_nodes: NODE_LIMIT,
            max_events: NODE_LIMIT * 2,
            max_total_scalar_bytes: 256 * 1024 * 1024,
        },
        with_snippet: false,
    };
    serde_saphyr::from_str_with_options(text, options)
        .map_err(|error| bundle::BundleError::from_parser(&error, text))
}

/// Returns the SHA-256 digest of a bundle's text in hexadecimal digits.
#[must_use]
pub fn digest(text: &str) -> String {
    use sha2::Digest as _;
    format!("{:x}", sha2::Sha256::digest(text.as_bytes()))
}
