//! Settings of the configuration stream.

/// Settings of the fold over the configuration stream. They do not affect which
/// records are valid, so VMs may use different values.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ConfigFoldConfig {
    /// Maximum size of the records buffered after a gap while a checkpoint is
    /// searched for, in bytes.
    pub gap_limit_bytes: usize,
    /// Maximum size of the applied records that are kept for peers, in bytes.
    pub tail_limit_bytes: usize,
}

impl Default for ConfigFoldConfig {
    fn default() -> Self {
        Self {
            gap_limit_bytes: 64 * 1024 * 1024,
            tail_limit_bytes: 4 * 1024 * 1024,
        }
    }
}

/// Settings of the checkpoint scheduler.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct CheckpointConfig {
    /// Age of the oldest needed record at which the VM of the first rank
    /// appends a checkpoint, in percent of the retention.
    pub due_percent: u64,
    /// Maximum random increase of the age in `due_percent`, in percent of the retention.
    pub jitter_percent: u64,
    /// Number of ranks whose VMs append checkpoints. VMs of later ranks append
    /// none.
    pub rank_limit: u64,
    /// Amount by which the age in `due_percent` increases with each rank after the first, in
    /// percent of the retention.
    pub rank_step_percent: u64,
    /// Time for which the log stores a record, in milliseconds.
    pub retention_ms: u64,
    /// Delay before a failed append is retried, in milliseconds.
    pub retry_ms: u64,
}

impl Default for CheckpointConfig {
    fn default() -> Self {
        Self {
            due_percent: 40,
            jitter_percent: 2,
            rank_limit: 8,
            rank_step_percent: 5,
            retention_ms: 86_400_000,
            retry_ms: 5_000,
        }
    }
}

/// Settings of the replication of configuration records between VMs.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ReplicationConfig {
    /// Number of peers that are notified when this VM has applied new records.
    pub announce_count: usize,
    /// First backoff after a failed read or pull, in milliseconds.
    pub backoff_base_ms: u64,
    /// Minimum delay before records that only peers of other regions have are
    /// pulled from one of these peers, in milliseconds. The delay is a random value
    /// between this and twice this.
    pub far_pull_wait_ms: u64,
    /// Maximum backoff after failed reads of the log, in milliseconds.
    pub log_backoff_limit_ms: u64,
    /// Interval between reads by a VM that tails the log, in milliseconds.
    pub log_poll_ms: u64,
    /// Maximum number of records requested in one read.
    pub log_read_count: usize,
    /// Timeout of a read of the log, in milliseconds.
    pub log_timeout_ms: u64,
    /// Maximum backoff after failed pulls, in milliseconds.
    pub pull_backoff_limit_ms: u64,
    /// Maximum size of a batch requested from a peer, in bytes.
    pub pull_limit_bytes: usize,
    /// Timeout of a pull from a peer, in milliseconds.
    pub pull_timeout_ms: u64,
    /// Number of peers that a VM without a configuration queries before it
    /// serves requests.
    pub start_peer_count: usize,
    /// Maximum time for which a VM that has a configuration waits for further
    /// responses before it serves requests, in milliseconds.
    pub start_wait_ms: u64,
    /// Number of VMs in each region that tail the log.
    pub tailer_count: usize,
}

impl Default for ReplicationConfig {
    fn default() -> Self {
        Self {
            announce_count: 6,
            backoff_base_ms: 100,
            far_pull_wait_ms: 2_000,
            log_backoff_limit_ms: 5_000,
            log_poll_ms: 500,
            log_read_count: 256,
            log_timeout_ms: 5_000,
            pull_backoff_limit_ms: 2_000,
            pull_limit_bytes: 1_048_576,
            pull_timeout_ms: 1_000,
            start_peer_count: 3,
            start_wait_ms: 3_000,
            tailer_count: 2,
        }
    }
}
