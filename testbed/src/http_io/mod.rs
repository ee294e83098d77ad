//! Helpers for HTTP requests and responses.

mod hex;
mod http_request;
mod pause;
mod response;
mod serve_error;
mod serving;

pub use hex::hex;
pub use http_request::{header, header_u64, read_body};
pub use pause::pause;
pub use response::{aborted, json, plain};
pub use serve_error::ServeError;
pub use serving::{bind, print_address, serve};
