//! A bundle: everything that operators configure, published as one.

use crate::bundle;

/// Everything that operators configure, published, signed off and rolled out
/// as one.
#[derive(Clone, Debug, Default, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Bundle {
    /// Limit of every organisation that `organisation_limits` does not name.
    pub default_organisation_limit: bundle::OrganisationLimit,
    /// Limits by organisation id.
    pub organisation_limits: indexmap::IndexMap<String, bundle::OrganisationLimit>,
    /// Routes; the longest matching path prefix wins.
    pub routes: Vec<bundle::Route>,
    /// Services by name.
    pub services: indexmap::IndexMap<String, bundle::Service>,
}

/// Largest number of YAML nodes in a bundle: 200,000 servers with ten nodes
/// each, 44,000 routes and room to spare.
const NODE_LIMIT: usize = 4_000_000;

/// Parses a bundle.
///
/// # Errors
///
/// Gives line, column, field and what was expected if `text` is no bundle.
/// Contradictions between fields are found by [`bundle::check`].
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

/// Gives the SHA-256 of a bundle's text in hexadecimal digits.
#[must_use]
pub fn digest(text: &str) -> String {
    use sha2::Digest as _;
    format!("{:x}", sha2::Sha256::digest(text.as_bytes()))
}
