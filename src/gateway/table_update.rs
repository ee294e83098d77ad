//! Rows of the registry of backend servers that were pulled from another VM.

use crate::gateway;

/// Rows of the registry of backend servers that were pulled from another VM.
#[derive(Clone, Debug, Default)]
pub struct TableUpdate {
    /// Whether `rows` is the complete table rather than the rows that changed since
    /// this VM's revision.
    pub is_complete: bool,
    /// Offset at which to continue reading the registry's changes.
    pub next_offset: u64,
    /// Revision of the other VM's table when the first row was sent. Rows that
    /// changed since then may be missing.
    pub revision: u64,
    /// Rows by key.
    pub rows: indexmap::IndexMap<String, gateway::BackendRow>,
}
