//! Operators with known system sizes.

use std::str;

use crate::shape;

/// Operator with a known system size.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Customer {
    /// Lebo Tagline Systems: many slots per server, short lookups.
    Lebo,
    /// Tazas del Volcán: two slots per server.
    Tazas,
}

impl Customer {
    /// Returns the sizes of the operator's system.
    #[must_use]
    pub fn shape(self) -> shape::SystemShape {
        match self {
            Self::Lebo => shape::SystemShape::lebo(),
            Self::Tazas => shape::SystemShape::tazas(),
        }
    }
}

impl str::FromStr for Customer {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "lebo" => Ok(Self::Lebo),
            "tazas" => Ok(Self::Tazas),
            other => Err(format!("expected lebo or tazas, found {other}")),
        }
    }
}
