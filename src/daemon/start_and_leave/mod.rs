//! Start, command-line options and graceful leave of the daemon.

pub(super) mod leave;
pub(super) mod options;
pub(super) mod start;
