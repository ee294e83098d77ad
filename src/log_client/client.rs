//! Interface of the clients of the log service.

use futures::future;

use crate::log_client;

/// A client of the log service.
pub trait LogClient: Send + Sync {
    /// Appends `body` to `stream`.
    ///
    /// # Errors
    ///
    /// Returns [`log_client::LogError::MayHaveTakenEffect`] if the record may
    /// be in the log despite the error.
    fn append<'a>(
        &'a self,
        stream: &'a str,
        body: String,
    ) -> future::BoxFuture<'a, Result<log_client::Appended, log_client::LogError>>;

    /// Reads up to `max_count` records of `stream` from offset `from`. If the
    /// record at `from` has expired, returns no records, and `first_offset` of
    /// the batch is the oldest offset that the log still has.
    ///
    /// # Errors
    ///
    /// Returns an error if the log cannot be reached within the timeout or its
    /// response is invalid.
    fn read<'a>(
        &'a self,
        stream: &'a str,
        from: u64,
        max_count: usize,
    ) -> future::BoxFuture<'a, Result<log_client::LogBatch, log_client::LogError>>;

    /// Returns the platform's list of entry VMs.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform cannot be reached within the timeout
    /// or its response is invalid.
    fn vms(&self) -> future::BoxFuture<'_, Result<Vec<log_client::VmEntry>, log_client::LogError>>;
}
