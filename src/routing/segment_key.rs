//! Keys of the edges in the trie of path prefixes.

use std::hash;

/// Key of the edge from a prefix to a prefix that is one segment longer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct SegmentKey {
    /// Index of the shorter prefix.
    pub(crate) parent: u32,
    /// Last segment of the longer prefix.
    pub(crate) segment: Box<str>,
}

impl hash::Hash for SegmentKey {
    fn hash<H: hash::Hasher>(&self, state: &mut H) {
        SegmentKeyView {
            parent: self.parent,
            segment: &self.segment,
        }
        .hash(state);
    }
}

/// Borrowed form of a [`SegmentKey`], for lookups without allocation.
#[derive(Clone, Copy, Debug, Hash)]
pub(crate) struct SegmentKeyView<'a> {
    /// Index of the shorter prefix.
    pub(crate) parent: u32,
    /// Last segment of the longer prefix.
    pub(crate) segment: &'a str,
}

impl indexmap::Equivalent<SegmentKey> for SegmentKeyView<'_> {
    fn equivalent(&self, key: &SegmentKey) -> bool {
        self.parent == key.parent && *self.segment == *key.segment
    }
}
