//! Replay of a scenario's load against the gateway's own decisions, in virtual
//! time. Entry VMs use the gateway's backend pool and retry budgets; callers and
//! backend servers are modelled.
//!
//! Every policy of a scenario gets the same arrivals, run times and gray spells,
//! so that the figures of the policies can be compared.

mod args;
mod attempt;
mod attempt_result;
mod backend_pool_balancer;
mod balancer;
mod baseline_balancer;
mod caller_request;
mod choice_rule;
mod disturbance;
mod disturbance_kind;
mod entry_vm;
mod event;
mod event_queue;
mod figures;
mod idle_share;
mod load;
mod model_server;
mod network;
mod plot;
mod policy;
mod region_shape;
mod replay_error;
mod report;
mod retry_limits;
mod scenario;
mod service_figures;
mod service_shape;
mod simulation;
mod window;

pub use args::Args;
pub use choice_rule::ChoiceRule;
pub use disturbance::Disturbance;
pub use disturbance_kind::DisturbanceKind;
pub use figures::Figures;
pub use plot::write_plot;
pub use policy::Policy;
pub use replay_error::ReplayError;
pub use report::{csv, table};
pub use scenario::Scenario;
pub use service_figures::ServiceFigures;
pub use simulation::run;
pub use window::Window;
