//! The request path in front of backend servers that register themselves.
//!
//! Decisions are made by types and functions that use neither clock nor socket
//! ([`BackendPool`], [`BackendTable`], [`ReadSchedule`], [`RetryBudget`],
//! [`decide_retry`]). The other parts of the module supply their input and carry
//! out the decisions. The control thread keeps track of the fleet and the store;
//! the traffic thread serves requests.

mod backend_change;
mod backend_pool;
mod backend_row;
mod backend_table;
mod choice;
mod control_thread;
mod entry_points;
mod full_read;
mod gateway_bounds;
mod gateway_ports;
mod health_change;
mod identification;
mod identity;
mod leave;
mod leaving_servers;
mod limit_notice;
mod load_report;
mod memory_account;
mod metrics;
mod organisation_index;
mod organisation_proof;
mod pause_detector;
mod peer_loads;
mod pull_schedule;
mod read_schedule;
mod reader_role;
mod relay_peers;
mod relay_request;
mod relay_terms;
mod retry_after;
mod retry_budget;
mod retry_decision;
mod route_index;
mod send_constraints;
mod send_limit;
mod send_permission;
mod server_reach;
mod service_health;
mod shared;
mod slack_share;
mod snapshot;
mod start;
mod start_check;
mod suspicion;
mod table_update;
mod tracked_server;
mod traffic_thread;
mod use_floor;
mod vm_resources;

pub use backend_change::BackendChange;
pub use backend_pool::BackendPool;
pub use backend_row::BackendRow;
pub use backend_table::BackendTable;
pub use choice::{Choice, ChoiceRequest};
pub use control_thread::fleet_message::{FleetMessage, StateSummary};
pub use control_thread::fleet_service::{PulledState, StateSource};
pub use control_thread::store_cache::{StoreCache, StoreCacheSource};
pub use entry_points::{
    EntryVm, advertised as advertised_entry_points, choose as choose_entry_points,
};
pub use full_read::FullRead;
pub use gateway_bounds::GatewayBounds;
pub use gateway_ports::GatewayPorts;
pub use health_change::HealthChange;
pub use identification::{Identification, IdentificationRequest, identify};
pub use identity::Identity;
pub use leaving_servers::LeavingServers;
pub use limit_notice::LimitNotice;
pub use load_report::{LoadReport, ServerLoad, ServiceOutcomes};
pub use memory_account::MemoryAccount;
pub use metrics::Metrics;
pub use organisation_index::OrganisationIndex;
pub use organisation_proof::OrganisationProof;
pub use pause_detector::PauseDetector;
pub use pull_schedule::{PullCandidate, PullSchedule, Puller};
pub use read_schedule::ReadSchedule;
pub use reader_role::ReaderRole;
pub use relay_peers::RelayPeers;
pub use relay_request::RelayRequest;
pub use relay_terms::RelayTerms;
pub use retry_after::{cannot_meet_deadline, jittered_ms, retry_after_ms};
pub use retry_budget::RetryBudget;
pub use retry_decision::{AttemptEnd, RetryContext, RetryDecision, decide_retry};
pub use route_index::RouteIndex;
pub use send_constraints::SendConstraints;
pub use send_limit::SendLimit;
pub use send_permission::SendPermission;
pub use server_reach::ServerReach;
pub use shared::Shared;
pub use slack_share::SlackShare;
pub use snapshot::Snapshot;
pub use start::{GatewayParts, SettingsSource, run};
pub use start_check::StartCheck;
pub use suspicion::{Evidence, Suspicion};
pub use table_update::TableUpdate;
pub use traffic_thread::backend_connections::BackendConnections;
pub use traffic_thread::held_memory::{HeldMemory, RequestMemory};
pub use use_floor::{FloorCandidate, RequiredUse, required_servers};
pub use vm_resources::VmResources;
