//! A change of the health of a server or a service, as assessed by this VM.

use std::fmt;

/// A change of the health of a server or a service, as assessed by this VM.
#[derive(Clone, Debug, PartialEq)]
pub enum HealthChange {
    /// A server said that it leaves.
    Leaving {
        /// Whether it said so to this VM, not to another one.
        is_own: bool,
        /// Id of the server.
        server: String,
        /// Name of the server's service.
        service: String,
    },
    /// A server asked this VM for rest.
    Rest {
        /// Time for which it wants no request, in milliseconds.
        rest_ms: u64,
        /// Id of the server.
        server: String,
        /// Name of the server's service.
        service: String,
    },
    /// A server named a limit on its requests, or none any more.
    Limit {
        /// Whether the limit was named to this VM, not to another one.
        is_own: bool,
        /// Requests a second from all VMs together; `None` if there is no limit.
        limit_per_s: Option<f64>,
        /// Id of the server.
        server: String,
        /// Name of the server's service.
        service: String,
    },
    /// A server became suspect of failing, or ceased to be.
    Server {
        /// Whether the evidence came from a request of this VM, not of another VM.
        is_own: bool,
        /// Whether the server is suspect from now on.
        is_suspect: bool,
        /// Id of the server.
        server: String,
        /// Name of the server's service.
        service: String,
        /// Probability that the server is failing after the change.
        suspicion: f64,
    },
    /// A service became degraded or healthy again. All servers of a degraded
    /// service are used.
    Service {
        /// Share of the service's recent requests that failed.
        failed_share: f64,
        /// Whether the service is degraded from now on.
        is_degraded: bool,
        /// Name of the service, or the hash of its name if the service has no
        /// servers.
        service: String,
    },
}

impl HealthChange {
    /// Returns the name of the log line and of the counter for the change.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Leaving { .. } => "server.leaving",
            Self::Rest { .. } => "server.rests",
            Self::Limit {
                limit_per_s: Some(_),
                ..
            } => "server.limited",
            Self::Limit { .. } => "server.unlimited",
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

const fn source(is_own: bool) -> &'static str {
    if is_own { "own" } else { "peer" }
}

impl fmt::Display for HealthChange {
    /// Formats the change as the fields of a log line.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Leaving {
                is_own,
                server,
                service,
            } => {
                let source = source(*is_own);
                write!(
                    formatter,
                    "service={service} server={server} source={source}"
                )
            }
            Self::Rest {
                rest_ms,
                server,
                service,
            } => write!(
                formatter,
                "service={service} server={server} rest_ms={rest_ms}"
            ),
            Self::Limit {
                is_own,
                limit_per_s,
                server,
                service,
            } => {
                let source = source(*is_own);
                write!(
                    formatter,
                    "service={service} server={server} source={source}"
                )?;
                limit_per_s.map_or(Ok(()), |per_s| write!(formatter, " limit_per_s={per_s}"))
            }
            Self::Server {
                is_own,
                server,
                service,
                suspicion,
                ..
            } => {
                let source = source(*is_own);
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
