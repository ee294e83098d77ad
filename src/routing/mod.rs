//! Routing: finds the service of a request.

mod path;
mod route_match;
mod route_table;
mod segment_key;

pub use route_match::RouteMatch;
pub use route_table::RouteTable;
