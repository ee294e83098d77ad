//! Page of the newest records of a feed.

use crate::ports;

/// Page of the newest record of each key. The records of a feed span several
/// pages, in the order of their keys.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NewestPage<T> {
    /// End of the feed when the page was read, as a packed [`ports::StorePosition`].
    pub end_offset: u64,
    /// Records of the page.
    pub entries: Vec<ports::FeedEntry<T>>,
    /// Key after which the next page begins; `None` if this is the last page.
    pub next_after_key: Option<String>,
}
