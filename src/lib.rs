//! A proxy fleet for backend servers that suffer gray failures.
//!
//! Pure state machines make the decisions (see [`state_machine`]). The
//! [`daemon`] module passes events to them and executes their actions; the
//! [`tool`] module is the operators' command line.

pub mod admission;
pub mod balancing;
pub mod bundle;
pub mod claims;
pub mod config_fold;
pub mod configs;
pub mod context;
pub mod daemon;
pub mod gateway;
pub mod health;
pub mod http1;
pub mod log_client;
pub mod membership;
pub mod peer;
pub mod ports;
pub mod routing;
pub mod state_machine;
pub mod telemetry;
pub mod tool;
pub mod verdict;
