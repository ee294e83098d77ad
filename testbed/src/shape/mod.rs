//! Sizes of the operators' systems.

mod args;
mod customer;
mod placed_server;
mod region_shape;
mod service_shape;
mod system_shape;

pub use args::Args;
pub use customer::Customer;
pub use placed_server::PlacedServer;
pub use region_shape::RegionShape;
pub use service_shape::ServiceShape;
pub use system_shape::SystemShape;
