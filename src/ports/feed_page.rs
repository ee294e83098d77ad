//! What a read of a feed gives.

/// What a read of a feed gives.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FeedPage<T> {
    /// The records, in order of their offsets.
    pub entries: Vec<FeedEntry<T>>,
    /// Whether the feed ended after these records.
    pub is_at_end: bool,
    /// Where the next read goes on.
    pub next_offset: u64,
}

/// One record of a feed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FeedEntry<T> {
    /// Its key.
    pub key: String,
    /// Its position; grows with each record of the feed.
    pub offset: u64,
    /// What it says: nothing when the key was removed, the reason when the
    /// record cannot be read.
    pub value: Result<Option<T>, String>,
}
