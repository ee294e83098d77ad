//! Calls between entry VMs over TCP.

mod key_prefix_reply;
mod peer_clients;
mod peer_error;
mod pull_request;
mod service;
mod slot_request;
mod slot_response;
pub mod transport;

pub use key_prefix_reply::KeyPrefixReply;
pub use peer_clients::PeerClients;
pub use peer_error::PeerError;
pub use pull_request::PullRequest;
pub use service::PeerService;
pub use service::PeerServiceClient;
pub use slot_request::SlotRequest;
pub use slot_response::SlotResponse;
