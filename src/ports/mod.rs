//! Interface between the gateway and the platform it runs on.
//!
//! An adapter for a platform implements the traits of this module and passes
//! the implementations to [`crate::gateway::run`]. This module contains no name
//! or format of a particular platform.

mod backend;
mod backend_serde;
mod backend_state;
mod change_feed;
mod configuration_change;
mod entry_point_codec;
mod feed_page;
mod fleet_configuration;
mod header_names;
mod newest_page;
mod organisation;
mod request_kind;
mod request_limits;
mod route;
mod store_error;
mod store_position;
mod vm_directory;

pub use backend::Backend;
pub use backend_state::BackendState;
pub use change_feed::{BoxFuture, ChangeFeed};
pub use configuration_change::ConfigurationChange;
pub use entry_point_codec::{EntryPointCodec, EntryPointQuery};
pub use feed_page::{FeedEntry, FeedPage};
pub use fleet_configuration::FleetConfiguration;
pub use header_names::HeaderNames;
pub use newest_page::NewestPage;
pub use organisation::{Allowance, KeyDigest, Organisation};
pub use request_kind::RequestKind;
pub use request_limits::RequestLimits;
pub use route::{Route, RouteTarget};
pub use store_error::StoreError;
pub use store_position::StorePosition;
pub use vm_directory::VmDirectory;
