//! Request paths whose latency is measured.

/// A request path whose latency is measured.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum LatencyCase {
    /// A lookup sent directly to its backend server.
    LookupDirect,
    /// A lookup through one daemon.
    LookupThroughDaemon,
    /// An order sent directly to its backend server.
    OrderDirect,
    /// A keyed order sent to its home, which makes one claim at the witness.
    OrderThroughHome,
    /// A keyed order sent to another entry VM, which forwards it to its home: one
    /// hop more than [`Self::OrderThroughHome`].
    OrderThroughOther,
}

impl LatencyCase {
    /// All cases; each baseline precedes the cases that are compared with it.
    pub const ALL: [Self; 5] = [
        Self::LookupDirect,
        Self::LookupThroughDaemon,
        Self::OrderDirect,
        Self::OrderThroughHome,
        Self::OrderThroughOther,
    ];

    /// Returns the name of the case in tables.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::LookupDirect => "lookup-direct",
            Self::LookupThroughDaemon => "lookup-daemon",
            Self::OrderDirect => "order-direct",
            Self::OrderThroughHome => "order-home",
            Self::OrderThroughOther => "order-other",
        }
    }

    /// Returns the direct case that this case is compared with.
    #[must_use]
    pub const fn baseline(self) -> Self {
        match self {
            Self::LookupDirect | Self::LookupThroughDaemon => Self::LookupDirect,
            Self::OrderDirect | Self::OrderThroughHome | Self::OrderThroughOther => {
                Self::OrderDirect
            }
        }
    }

    /// Returns whether the requests are orders with idempotency keys.
    #[must_use]
    pub const fn is_order(self) -> bool {
        matches!(self.baseline(), Self::OrderDirect)
    }
}
