//! At-most-once execution of keyed requests, by a home VM and a witness VM.
//!
//! A non-idempotent request carries an idempotency key whose prefix names two
//! VMs. Only the [`Home`] may run the key, and only after the [`Witness`], in
//! another availability zone, has granted the claim. An [`Entry`] on any other
//! VM forwards the request to the home. If the home does not reply in time,
//! cannot be reached or has restarted, the entry sends a seal to the witness,
//! which prevents a run that has not been claimed yet.
//!
//! The state machines are driven by [`crate::daemon::ClaimHome`],
//! [`crate::daemon::ClaimWitness`] and [`crate::daemon::KeyedEntry`], which pass
//! in the events and carry out the actions.
//!
//! The protocol needs no clock, lease, shared view or log. Pauses, one-way
//! network cuts and outages therefore cannot run a key twice; they can only
//! replace a response by the verdict "may have run".

mod claim;
mod claim_key;
mod claim_reply;
mod entry;
mod entry_action;
mod entry_event;
mod entry_home_reply;
mod entry_reply;
mod epoch_counter;
mod finished_run;
mod grouped_table;
mod hand_over_batch;
mod hand_over_builder;
mod hand_over_entry;
mod home;
mod home_action;
mod home_attempts;
mod home_event;
mod home_record;
mod home_replies;
mod home_reply;
mod home_requests;
mod incoming_attempt;
mod key_error;
mod key_outcome;
mod key_prefix;
mod retry_after;
mod run_outcome;
mod seal;
mod seal_reply;
mod stored_header;
mod stored_response;
mod vm_identity;
mod witness;
mod witness_action;
mod witness_event;
mod witness_group;
mod witness_record;

pub use claim::Claim;
pub use claim_key::ClaimKey;
pub use claim_reply::ClaimReply;
pub use entry::Entry;
pub use entry_action::EntryAction;
pub use entry_event::EntryEvent;
pub use entry_home_reply::EntryHomeReply;
pub use entry_reply::EntryReply;
pub use hand_over_batch::HandOverBatch;
pub use hand_over_entry::HandOverEntry;
pub use home::Home;
pub use home_action::HomeAction;
pub use home_event::HomeEvent;
pub use home_reply::HomeReply;
pub use key_error::KeyError;
pub use key_outcome::KeyOutcome;
pub use key_prefix::KeyPrefix;
pub use run_outcome::RunOutcome;
pub use seal::Seal;
pub use seal_reply::SealReply;
pub use stored_header::StoredHeader;
pub use stored_response::StoredResponse;
pub use vm_identity::VmIdentity;
pub use witness::Witness;
pub use witness_action::WitnessAction;
pub use witness_event::WitnessEvent;
