//! How a server is at fault.

/// How a server is at fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum GrayMode {
    /// Cold after a restart: four times slower, and said to be cold.
    Cold,
    /// This share of the replies, in permille, are errors.
    Failing { permille: u32 },
    /// Slow by 20 times in every other half of the period.
    Flapping { period_ms: u64 },
    /// Requests are taken and never answered.
    HalfAlive,
    /// Slow by 5 times, and reports no load.
    Misleading,
    /// No fault.
    None,
    /// Half of the entry VMs cannot connect.
    OneSide,
    /// Every server is slow by so many times.
    ServiceWide { factor: f64 },
    /// Slow by so many times.
    Slow { factor: f64 },
    /// This share of the replies, in permille, are another request's.
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

    /// Gives the factor by which the faulty server is slow.
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
