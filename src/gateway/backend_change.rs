//! A change of the registry.

use std::fmt;
use std::sync;

use crate::ports;

/// A change of the registry, for the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BackendChange {
    /// When a removal takes effect that may be due to an outage, in
    /// milliseconds of this VM's clock.
    pub deferred_until_ms: Option<u64>,
    /// Why the record names no server, if it cannot be read.
    pub fault: Option<String>,
    /// The server's key.
    pub key: String,
    /// Offset of the record.
    pub offset: u64,
    /// What is known now; nothing when the server has left.
    pub backend: Option<sync::Arc<ports::Backend>>,
}

impl fmt::Display for BackendChange {
    /// Writes the change as the fields of a log line.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "server={} offset={} ", self.key, self.offset)?;
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
