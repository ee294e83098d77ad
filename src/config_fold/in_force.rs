//! Bundle in force.

use std::sync;

use crate::bundle;

/// Bundle in force with its roll-out.
#[derive(Clone, Debug, PartialEq)]
pub struct InForce {
    /// Parsed bundle.
    pub bundle: sync::Arc<bundle::Bundle>,
    /// Offset of the roll-out.
    pub offset: u64,
    /// Version of the bundle.
    pub version: String,
}
