//! Problem found in a parsed bundle.

use std::fmt;

use crate::bundle;

/// Problem found in a parsed bundle.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Problem {
    /// Expected value.
    pub expected: String,
    /// Path of the field, such as `services.orders.floor_servers`.
    pub field: String,
    /// Value that was found instead.
    pub found: String,
    /// Kind of the problem.
    pub kind: bundle::ProblemKind,
}

impl fmt::Display for Problem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "field `{}`: {}; expected {}",
            self.field, self.found, self.expected
        )
    }
}
