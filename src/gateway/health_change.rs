//! A change of what this VM believes of a server or a service.

use std::fmt;

/// A change of what this VM believes of a server or a service.
#[derive(Clone, Debug, PartialEq)]
pub enum HealthChange {
    /// A server is taken to be failing, or no more.
    Server {
        /// Whether one of this VM's own requests said so.
        is_own: bool,
        /// Whether it is a suspect from now on.
        is_suspect: bool,
        /// The server.
        server: String,
        /// Its service.
        service: String,
        /// Probability that it is failing, now.
        suspicion: f64,
    },
    /// So many of a service's requests fail that all of its servers are used,
    /// or no more.
    Service {
        /// Part of its requests that failed of late.
        failed_share: f64,
        /// Whether it is so from now on.
        is_degraded: bool,
        /// The service.
        service: String,
    },
}

impl HealthChange {
    /// Gives the name of its log line.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Server {
                is_suspect: true, ..
            } => "server.suspected",
            Self::Server { .. } => "server.trusted",
            Self::Service {
                is_degraded: true, ..
            } => "service.troubled",
            Self::Service { .. } => "service.calm",
        }
    }
}

impl fmt::Display for HealthChange {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Server {
                is_own,
                server,
                service,
                suspicion,
                ..
            } => {
                let source = if *is_own { "own" } else { "peer" };
                write!(
                    formatter,
                    "service={service} server={server} suspicion={suspicion:.2} source={source}"
                )
            }
            Self::Service {
                failed_share,
                service,
                ..
            } => write!(
                formatter,
                "service={service} failed_share={failed_share:.2}"
            ),
        }
    }
}
