//! Row of the registry of backend servers.

use std::sync;

use crate::ports;

/// A row of the table: the state of one key of the registry.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct BackendRow {
    /// The server; `None` if it was removed or its record cannot be read.
    #[serde(rename = "b", default)]
    pub backend: Option<sync::Arc<ports::Backend>>,
    /// Offset after the record that last changed the row.
    #[serde(rename = "r")]
    pub revision: u64,
    /// Time until a deferred removal takes effect, in milliseconds, counted from
    /// `updated_ms`; `None` if no removal is deferred.
    ///
    /// A removal that may be due to an outage of the store is deferred. In a row
    /// that is sent to another VM, the time counts from when it was sent.
    #[serde(rename = "d", default, skip_serializing_if = "Option::is_none")]
    pub removal_due_in_ms: Option<u64>,
    /// When this VM last updated the row, in milliseconds of its own clock.
    #[serde(skip)]
    pub updated_ms: u64,
}

impl BackendRow {
    /// Returns whether the row of another VM confirms a removal that is deferred
    /// here. That VM saw no outage and applied the removal at once.
    pub(super) fn is_removal_confirmed_by(&self, other: &Self) -> bool {
        self.removal_due_in_ms.is_some() && other.backend.is_none()
    }

    /// Returns the row as of `now_ms`: the time until a deferred removal is reduced
    /// by the age of the row.
    pub(super) fn as_of(&self, now_ms: u64) -> Self {
        let age_ms = now_ms.saturating_sub(self.updated_ms);
        Self {
            removal_due_in_ms: self
                .removal_due_in_ms
                .map(|due_in_ms| due_in_ms.saturating_sub(age_ms)),
            updated_ms: now_ms,
            ..self.clone()
        }
    }
}
