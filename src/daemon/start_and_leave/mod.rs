//! Start, options and graceful leave of the process.

pub(super) mod leave;
pub(super) mod options;
pub(super) mod start;
