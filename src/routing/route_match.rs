//! Result of a route lookup.

use crate::bundle;

/// Route that matches a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RouteMatch<'a> {
    /// Whether the request is idempotent: the setting of the route, else that
    /// of its service, else `false`.
    pub idempotent: bool,
    /// The route that matched.
    pub route: &'a bundle::Route,
    /// Name of the service that the route leads to.
    pub service_name: &'a str,
}
