//! Load balancing: chooses the backend server of a request.
//!
//! An entry VM either picks a server with its own [`Picker`], or requests a
//! slot from the service's [`Dispatcher`] through a [`GrantClient`], which
//! falls back to the VM's own picker when the dispatcher does not respond in
//! time.

mod candidates;
mod dispatcher;
mod dispatcher_action;
mod dispatcher_event;
mod dispatcher_server;
mod grant_client;
mod grant_client_action;
mod grant_client_event;
mod grant_queue;
mod grant_request;
mod grant_state;
mod granted_slot;
mod least_outstanding;
mod load_estimate;
mod pick_request;
mod picker;
mod picker_event;
mod ramp;
pub mod rendezvous;
mod server_pool;
mod server_view;
mod spill_budget;
mod subset;
mod two_choices;
mod uniform_random;

pub use dispatcher::Dispatcher;
pub use dispatcher_action::DispatcherAction;
pub use dispatcher_event::DispatcherEvent;
pub use dispatcher_server::DispatcherServer;
pub use grant_client::GrantClient;
pub use grant_client_action::GrantClientAction;
pub use grant_client_event::GrantClientEvent;
pub use least_outstanding::LeastOutstanding;
pub use pick_request::PickRequest;
pub use picker::Picker;
pub use picker_event::PickerEvent;
pub use server_view::ServerView;
pub use spill_budget::SpillBudget;
pub use subset::subset;
pub use two_choices::TwoChoices;
pub use uniform_random::UniformRandom;
