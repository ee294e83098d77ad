//! Records that one read of a feed returns.

/// Records that one read of a feed returns.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FeedPage<T> {
    /// Records, in the order of their offsets.
    pub entries: Vec<FeedEntry<T>>,
    /// Whether the feed had no further records at the time of the read.
    pub is_at_end: bool,
    /// Packed [`crate::ports::StorePosition`] from which the next read continues.
    pub next_offset: u64,
}

/// Record of a feed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FeedEntry<T> {
    /// Key of the record.
    pub key: String,
    /// Packed [`crate::ports::StorePosition`] of the record; grows with each record of the feed.
    pub offset: u64,
    /// Decoded value: `None` if the record removes the key, an error message if
    /// the record cannot be decoded.
    pub value: Result<Option<T>, String>,
}
