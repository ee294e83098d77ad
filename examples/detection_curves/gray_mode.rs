//! Fault of a server.

/// Fault of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum GrayMode {
    /// Cold after a restart: four times as slow, and reported as cold.
    Cold,
    /// A share of the responses, in permille, are errors.
    Failing { permille: u32 },
    /// 20 times as slow in the first half of each period.
    Flapping { period_ms: u64 },
    /// Accepts requests and never responds.
    HalfAlive,
    /// 5 times as slow, and reports no load.
    Misleading,
    /// No fault.
    None,
    /// Half of the entry VMs cannot connect to the server.
    OneSide,
    /// Every server of the service is slow by the factor.
    ServiceWide { factor: f64 },
    /// Slow by the factor.
    Slow { factor: f64 },
    /// A share of the responses, in permille, belong to other requests.
    Wrong { permille: u32 },
}

impl GrayMode {
    pub fn label(self) -> String {
        match self {
            Self::Cold => String::from("cold start"),
            Self::Failing { permille } => format!("{}% failed", permille / 10),
            Self::Flapping { period_ms } => format!("flapping {} s", period_ms / 1_000),
            Self::HalfAlive => String::from("half-alive"),
            Self::Misleading => String::from("misleading health x5"),
            Self::None => String::from("healthy"),
            Self::OneSide => String::from("reachable from one side"),
            Self::ServiceWide { factor } => format!("service-wide slow x{factor}"),
            Self::Slow { factor } => format!("slow x{factor}"),
            Self::Wrong { permille } => format!("{}% wrong", permille / 10),
        }
    }

    /// Returns the factor by which the faulty server is slow `since_ms` after the
    /// start of the fault.
    pub fn slowdown(self, since_ms: u64) -> f64 {
        match self {
            Self::Cold => 4.0,
            Self::Flapping { period_ms } if since_ms % period_ms < period_ms / 2 => 20.0,
            Self::Misleading => 5.0,
            Self::ServiceWide { factor } | Self::Slow { factor } => factor,
            _ => 1.0,
        }
    }
}
