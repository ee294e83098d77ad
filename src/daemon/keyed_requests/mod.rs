//! Requests with an idempotency key, at their home, witness and entry.

pub(super) mod claim_home;
pub(super) mod claim_witness;
pub(super) mod keyed_entry;
pub(super) mod keyed_home;
