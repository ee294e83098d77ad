//! Requests with an idempotency key, at their home, their witness and the entry
//! VM that receives them.

pub(super) mod claim_home;
pub(super) mod claim_witness;
pub(super) mod keyed_entry;
pub(super) mod keyed_home;
