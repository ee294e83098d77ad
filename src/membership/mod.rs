//! Gossip membership of the entry VMs.
//!
//! The member list is advisory: correctness never depends on two VMs having
//! the same list.
//!
//! Each VM probes one random member per period. If the member does not
//! acknowledge the ping, other VMs ping it too, so that a one-way network cut
//! does not count as a failure. Updates are piggybacked on pings and
//! acknowledgements up to a limit in bytes, so that the traffic of a VM does
//! not grow with the fleet. Anti-entropy with a random peer repairs updates
//! that were lost. Dead members are probed at a low rate, so that regions
//! reconnect after a partition.
//!
//! The state machine is driven by [`crate::daemon::MembershipControl`] and by the
//! control thread of [`crate::gateway`], which pass in the events and carry out
//! the actions.

mod anti_entropy;
mod event_handling;
mod gossip_queue;
mod listed_vm;
mod member;
mod member_stamp;
mod member_state;
mod member_table;
mod membership_action;
mod membership_core;
mod membership_event;
mod message;
mod message_body;
mod probing;
mod update;

pub use listed_vm::ListedVm;
pub use member::Member;
pub use member_stamp::MemberStamp;
pub use member_state::MemberState;
pub use membership_action::MembershipAction;
pub use membership_core::Membership;
pub use membership_event::MembershipEvent;
pub use message::Message;
pub use message_body::MessageBody;
pub use update::Update;
