//! Configuration stream as read by the tool.

use crate::config_fold;
use crate::configs;
use crate::log_client;
use crate::tool;
use crate::tool::tool_error;

/// Maximum number of records per read.
const READ_COUNT: usize = 256;

/// Configuration stream, folded by the same rules as on every VM.
pub struct LogView {
    /// Fold of all records.
    pub fold: config_fold::ConfigFold,
    /// Events that the fold returned for each record, by offset.
    events_by_offset: indexmap::IndexMap<u64, Vec<config_fold::FoldEvent>>,
}

impl LogView {
    /// Reads and folds the complete stream.
    ///
    /// # Errors
    ///
    /// Returns an error if the log cannot be read, or if records have expired
    /// and no checkpoint covers them.
    pub async fn read(client: &dyn log_client::LogClient) -> Result<Self, tool::ToolError> {
        let mut view = Self {
            fold: config_fold::ConfigFold::new(configs::ConfigFoldConfig::default()),
            events_by_offset: indexmap::IndexMap::new(),
        };
        let mut from = 0;
        loop {
            let stream = log_client::CONFIGURATION_STREAM;
            let batch = client.read(stream, from, READ_COUNT).await?;
            for record in &batch.records {
                let events = view.fold.apply(record);
                view.events_by_offset.insert(record.offset, events);
            }
            match batch.records.last() {
                Some(last) => from = last.offset + 1,
                None if from < batch.first_offset => from = batch.first_offset,
                None => break,
            }
        }
        if from > view.fold.next_offset() {
            let reason = "records have expired and no checkpoint covers them yet; \
                          a running VM appends one";
            return tool_error::LogUnavailableSnafu { reason }.fail();
        }
        Ok(view)
    }

    /// Returns the version of the bundle in force, or `None` before the first
    /// roll-out.
    #[must_use]
    pub fn version_in_force(&self) -> Option<&str> {
        self.fold.state().current_version()
    }

    /// Returns the events that the fold returned for the record at `offset`.
    #[must_use]
    pub fn fold_events(&self, offset: u64) -> &[config_fold::FoldEvent] {
        self.events_by_offset
            .get(&offset)
            .map_or(&[], Vec::as_slice)
    }

    /// Returns the reason why the record at `offset` was rejected, or `None` if
    /// it was not.
    #[must_use]
    pub fn rejection(&self, offset: u64) -> Option<&config_fold::Rejection> {
        self.fold_events(offset)
            .iter()
            .find_map(|event| match event {
                config_fold::FoldEvent::Rejected { reason, .. } => Some(reason),
                _ => None,
            })
    }
}
