//! Stand-ins for the platform, the backend servers and the callers, and tools
//! that check, measure and replay their traffic.

pub mod backend;
pub mod caller;
pub mod history;
pub mod http_io;
mod locking;
pub mod measure;
pub mod platform;
pub mod replay;
pub mod shape;
