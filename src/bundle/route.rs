//! Route that assigns requests to a service.

/// Route that assigns the matching requests to a service.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Overrides the service's `idempotent` for requests on this route.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub idempotent: Option<bool>,
    /// HTTP methods that match; an empty list matches every method.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub methods: Vec<String>,
    /// Leading path segments that match, such as `/orders`. Only complete
    /// segments match.
    pub path_prefix: String,
    /// Name of the service.
    pub service: String,
}
