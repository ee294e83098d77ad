//! Tests the daemon's request path against servers that fail in one defined way.

mod daemon;
