//! A change of the registry of backend servers.

use std::fmt;
use std::sync;

use crate::ports;

/// A change of one key of the registry, as written to the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BackendChange {
    /// When a deferred removal takes effect, in milliseconds of this VM's clock;
    /// `None` if the change is in effect.
    ///
    /// A removal is deferred if it may be due to an outage of the store.
    pub deferred_until_ms: Option<u64>,
    /// Why the record cannot be read, if it cannot.
    pub fault: Option<String>,
    /// Registry key of the server.
    pub key: String,
    /// Offset of the record that made the change.
    pub offset: u64,
    /// The server after the change; `None` if it was removed or its record cannot
    /// be read.
    pub backend: Option<sync::Arc<ports::Backend>>,
}

impl fmt::Display for BackendChange {
    /// Formats the change as the fields of a log line.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let position = ports::StorePosition::from_packed(self.offset);
        write!(formatter, "server={} offset={position} ", self.key)?;
        if let Some(fault) = &self.fault {
            write!(formatter, "fault=\"{fault}\" ")?;
        }
        if let Some(until_ms) = self.deferred_until_ms {
            return write!(formatter, "state=removal-deferred until_ms={until_ms}");
        }
        let Some(backend) = &self.backend else {
            return formatter.write_str("state=gone");
        };
        write!(
            formatter,
            "state={:?} service={} address={} born_unix_ms={} zone={}",
            backend.state,
            backend.service,
            backend.address,
            backend.born_unix_ms,
            backend.availability_zone
        )
    }
}
