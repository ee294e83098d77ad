//! Builds the configuration in force from the records of the configuration log,
//! and replicates these records between the entry VMs.
//!
//! Every VM applies the same records in offset order and reaches the same
//! state. A VM receives records from the log or from peers. [`ConfigFold`]
//! refuses batches of peers that do not continue its own history.

mod backoff;
mod batch_error;
mod checkpoint_scheduler;
mod fleet_state;
mod fold;
mod fold_event;
mod fold_state;
mod gap_buffer;
mod hash_chain;
mod in_force;
mod lease;
mod local_history;
mod log_read_scheduler;
mod log_record;
mod proposal;
mod pull_scheduler;
mod readiness_gate;
mod recent_records;
mod record;
mod record_batch;
mod record_body;
mod record_error;
mod rehearsal;
mod rejection;
mod replication_action;
mod replication_event;
mod replication_member;
mod replicator;
mod rollout;
mod rules;
mod snapshot_error;
mod tailers;

pub use batch_error::BatchError;
pub use checkpoint_scheduler::CheckpointScheduler;
pub use fleet_state::FleetState;
pub use fold::ConfigFold;
pub use fold_event::FoldEvent;
pub use fold_state::FoldState;
pub use in_force::InForce;
pub use lease::Lease;
pub use log_record::LogRecord;
pub use proposal::Proposal;
pub use record::Record;
pub use record_batch::{BatchContent, RecordBatch};
pub use record_body::{RecordBody, RehearsalEffect};
pub use record_error::RecordError;
pub use rehearsal::Rehearsal;
pub use rejection::Rejection;
pub use replication_action::ReplicationAction;
pub use replication_event::ReplicationEvent;
pub use replication_member::ReplicationMember;
pub use replicator::Replicator;
pub use rollout::Rollout;
pub use snapshot_error::SnapshotError;
