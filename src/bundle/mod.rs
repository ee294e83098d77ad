//! Bundles, the versioned configuration that operators publish: structure,
//! parser, consistency checks and differences between two bundles.

mod backend_server;
mod bundle_error;
mod change;
mod checker;
mod document;
mod field_path;
mod organisation_limit;
mod priority;
mod problem;
mod problem_kind;
mod route;
mod service;

pub use backend_server::BackendServer;
pub use bundle_error::BundleError;
pub use change::{Change, diff};
pub use checker::check;
pub use document::{Bundle, digest, parse};
pub use organisation_limit::OrganisationLimit;
pub use priority::Priority;
pub use problem::Problem;
pub use problem_kind::ProblemKind;
pub use route::Route;
pub use service::Service;
