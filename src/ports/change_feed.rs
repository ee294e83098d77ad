//! Feed of keyed records from the platform's store.

use std::future;
use std::pin;
use std::time;

use crate::ports;

/// Boxed future, which lets the traits of this module be used as trait objects.
pub type BoxFuture<'a, T> = pin::Pin<Box<dyn future::Future<Output = T> + Send + 'a>>;

/// Feed of keyed records. A reader first reads the newest record of each key
/// and then every change.
pub trait ChangeFeed<T>: Send + Sync {
    /// Returns the records from `from_offset`, a packed [`ports::StorePosition`], on. If there are none, waits up
    /// to `wait` for the first one.
    ///
    /// # Errors
    ///
    /// Returns [`ports::StoreError::HistoryGone`] if the store no longer has
    /// the records, and [`ports::StoreError::Restored`] if it has returned from an
    /// older copy; the reader must then call [`ChangeFeed::newest`]. Returns another
    /// error if the store cannot be read.
    fn changes(
        &self,
        from_offset: u64,
        wait: time::Duration,
    ) -> BoxFuture<'_, Result<ports::FeedPage<T>, ports::StoreError>>;

    /// Returns the page of the newest records that begins after `after_key`, or the
    /// first page if `None`.
    ///
    /// # Errors
    ///
    /// Returns an error if the store cannot be read.
    fn newest(
        &self,
        after_key: Option<String>,
    ) -> BoxFuture<'_, Result<ports::NewestPage<T>, ports::StoreError>>;
}
