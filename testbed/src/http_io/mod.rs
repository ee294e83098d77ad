//! Small helpers around HTTP requests and answers.

mod response;
mod hex;
mod http_request;
mod pause;
mod serve_error;
mod serving;

pub use response::{aborted, json, plain};
pub use hex::hex;
pub use http_request::{header, header_u64, read_body};
pub use pause::pause;
pub use serve_error::ServeError;
pub use serving::{print_address, bind, serve};
