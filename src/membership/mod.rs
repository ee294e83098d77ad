//! Which VMs are there, as advice: no promise depends on two VMs agreeing.
//!
//! A VM probes a random member each period, itself or through others, so that
//! one-way cuts are not taken for losses. Changes travel with the probes and
//! their answers, bounded in bytes, so that the cost of a VM does not grow
//! with the fleet. A comparison of state with a random peer mends what the
//! changes missed, and dead members are probed at a slow rate, so that regions
//! that were cut off find each other again.

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
