//! Tests of the daemon's request path against servers with exactly one fault
//! each.

mod daemon;
