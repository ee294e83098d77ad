//! Records of the platform's store, newest by key and then change by change.

use std::future;
use std::pin;
use std::time;

use crate::ports;

/// A boxed future, so that ports can be trait objects.
pub type BoxFuture<'a, T> = pin::Pin<Box<dyn future::Future<Output = T> + Send + 'a>>;

/// A feed of keyed records: the newest of each key, then each change.
pub trait ChangeFeed<T>: Send + Sync {
    /// Gives the records from `from_offset` on; waits up to `wait` for one.
    ///
    /// # Errors
    ///
    /// Gives [`ports::StoreError::HistoryGone`] when the records are no longer
    /// kept: read the newest instead.
    fn changes(
        &self,
        from_offset: u64,
        wait: time::Duration,
    ) -> BoxFuture<'_, Result<ports::FeedPage<T>, ports::StoreError>>;

    /// Gives the newest record of each key.
    ///
    /// # Errors
    ///
    /// Gives why the store gave none.
    fn newest(&self) -> BoxFuture<'_, Result<ports::FeedPage<T>, ports::StoreError>>;
}
