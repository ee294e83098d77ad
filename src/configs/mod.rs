//! Settings of each module and their default values.

pub mod admission;
pub mod balancing;
pub mod claims;
mod config_fold;
mod daemon;
pub mod gateway;
pub mod health;
mod log_client;
pub mod membership;
mod settings_error;
mod yaml;

pub use admission::AdmissionConfig;
pub use balancing::BalancingConfig;
pub use claims::ClaimsConfig;
pub use config_fold::{CheckpointConfig, ConfigFoldConfig, ReplicationConfig};
pub use daemon::DaemonConfig;
pub use gateway::GatewayConfig;
pub use health::HealthConfig;
pub use log_client::LogClientConfig;
pub use membership::MembershipConfig;
pub use settings_error::SettingsError;
