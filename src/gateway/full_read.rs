//! Full read of a feed, page by page.

use std::mem;

use crate::ports;

/// Number of consecutive failures of one page after which the read fails.
const MAX_PAGE_FAILURES: u32 = 4;

/// Full read of a feed: the newest record of each key, read page by page.
///
/// Load pattern: the registry of 3,000 servers spans 60 pages, a call from another
/// region takes 60 ms, and the store refuses some calls while hundreds of VMs
/// start. The pages that were read are kept when a call fails, so that the read
/// does not start over.
#[derive(Debug)]
pub struct FullRead<T> {
    after_key: Option<String>,
    end_offset: Option<u64>,
    entries: Vec<ports::FeedEntry<T>>,
    page_failure_count: u32,
}

impl<T> Default for FullRead<T> {
    fn default() -> Self {
        Self {
            after_key: None,
            end_offset: None,
            entries: Vec::new(),
            page_failure_count: 0,
        }
    }
}

impl<T> FullRead<T> {
    /// Returns the key after which the next page begins; `None` for the first page.
    #[must_use]
    pub fn after_key(&self) -> Option<String> {
        self.after_key.clone()
    }

    /// Adds the next page. Returns all records after the last page.
    ///
    /// The records are the newest ones as of the first page: changes that were made
    /// while the other pages were read may be missing, so the feed's changes must
    /// be read from the end offset of the first page.
    ///
    /// # Errors
    ///
    /// Returns [`ports::StoreError::Invalid`] if the next page would begin at or
    /// before the key at which this one began, so that the read would never end, or if
    /// the store has returned from an older copy since the first page.
    pub fn add_page(
        &mut self,
        page: ports::NewestPage<T>,
    ) -> Result<Option<ports::FeedPage<T>>, ports::StoreError> {
        if page.next_after_key.is_some() && page.next_after_key <= self.after_key {
            let detail = format!("page after key {:?} begins again", page.next_after_key);
            return Err(ports::StoreError::Invalid { detail });
        }
        let era = |packed| ports::StorePosition::from_packed(packed).era;
        if self
            .end_offset
            .is_some_and(|end_offset| era(end_offset) != era(page.end_offset))
        {
            let detail = "pages of different eras of the store".to_owned();
            return Err(ports::StoreError::Invalid { detail });
        }
        self.page_failure_count = 0;
        let next_offset = *self.end_offset.get_or_insert(page.end_offset);
        self.entries.extend(page.entries);
        self.after_key = page.next_after_key;
        if self.after_key.is_some() {
            return Ok(None);
        }
        Ok(Some(ports::FeedPage {
            entries: mem::take(&mut self.entries),
            is_at_end: true,
            next_offset,
        }))
    }

    /// Records that the call for the next page failed. Returns whether to repeat it.
    ///
    /// The first page is not repeated, so that an outage of the store is noticed at
    /// once.
    #[must_use]
    pub fn record_failure(&mut self, error: &ports::StoreError) -> bool {
        self.page_failure_count += 1;
        let is_transient = matches!(
            error,
            ports::StoreError::NoResponse { .. } | ports::StoreError::Refused { .. }
        );
        is_transient && self.after_key.is_some() && self.page_failure_count < MAX_PAGE_FAILURES
    }
}
