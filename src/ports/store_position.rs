//! Position of a record in the platform's store.

use std::fmt;

/// Number of bits of a packed position that hold the offset.
const OFFSET_BITS: u32 = 40;
/// Largest offset that a packed position holds. The offset after it still fits.
const MAX_OFFSET: u64 = (1 << OFFSET_BITS) - 2;
/// Largest era that a packed position holds.
const MAX_ERA: u64 = u64::MAX >> OFFSET_BITS;

/// Position of a record in the platform's store.
///
/// The store may return from an older copy of its records. It then gives offsets out
/// again, in a new era. Positions are ordered by era first, so that all records of the
/// new era are newer than any of the old one.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct StorePosition {
    /// Number of times at which the store had returned from an older copy, as the store
    /// counts them.
    pub era: u64,
    /// Offset of the record in its topic.
    pub offset: u64,
}

impl StorePosition {
    /// Returns the position that `packed` stands for.
    #[must_use]
    pub const fn from_packed(packed: u64) -> Self {
        Self {
            era: packed >> OFFSET_BITS,
            offset: packed & ((1 << OFFSET_BITS) - 1),
        }
    }

    /// Returns the position as one number, in which it is passed on and compared. The
    /// next offset is the next number. A position out of range becomes the largest one.
    #[must_use]
    pub const fn packed(self) -> u64 {
        let era = if self.era < MAX_ERA {
            self.era
        } else {
            MAX_ERA
        };
        let offset = if self.offset < MAX_OFFSET {
            self.offset
        } else {
            MAX_OFFSET
        };
        (era << OFFSET_BITS) | offset
    }
}

impl fmt::Display for StorePosition {
    /// Formats the offset, preceded by the era if it is not 0.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.era == 0 {
            write!(formatter, "{}", self.offset)
        } else {
            write!(formatter, "{}:{}", self.era, self.offset)
        }
    }
}
