//! Gray-failure detection, ejection of backend servers and quarantine of
//! requests that crash servers.
//!
//! The [`Detector`] evaluates the backend servers of one service by the
//! outcomes of real requests. It reduces the traffic to a suspected server at
//! once and requests an ejection from the [`Decider`], which keeps the
//! service's floor across all entry VMs. The [`EjectionHolder`] holds the
//! granted ejections of one entry VM. The [`Quarantine`] refuses requests that
//! crashed the servers that ran them.
//!
//! The state machines are driven by [`crate::daemon::HealthControl`], which passes
//! in the events and carries out the actions. The gateway uses the quarantine
//! only.

mod clock_margin;
mod comparison;
mod counts;
mod decider;
mod decider_action;
mod decider_event;
mod detector;
mod detector_action;
mod detector_event;
mod ejection_holder;
mod ejection_refusal;
mod ejection_request;
mod ejection_response;
mod evaluator;
mod evidence;
mod evidence_window;
mod failure_rate;
mod fault;
mod fault_scope;
mod grant_table;
mod holder_action;
mod holder_event;
mod latency_histogram;
mod lease_record;
mod lease_tracker;
mod outcome;
mod outcome_kind;
mod outcome_totals;
mod peer_view;
mod peers;
mod phase;
mod quarantine;
mod quarantine_action;
mod quarantine_event;
mod quarantine_summary;
mod reference;
mod score;
mod sequential_test;
mod server_state;
mod server_summary;
mod server_tracker;
mod servers;
mod summary;
mod summary_schedule;
mod thresholds;
mod weights;

pub use clock_margin::ClockMargin;
pub use decider::Decider;
pub use decider_action::DeciderAction;
pub use decider_event::DeciderEvent;
pub use detector::Detector;
pub use detector_action::DetectorAction;
pub use detector_event::DetectorEvent;
pub use ejection_holder::EjectionHolder;
pub use ejection_refusal::EjectionRefusal;
pub use ejection_request::EjectionRequest;
pub use ejection_response::EjectionResponse;
pub use evidence::Evidence;
pub use holder_action::HolderAction;
pub use holder_event::HolderEvent;
pub use lease_record::LeaseRecord;
pub use lease_tracker::LeaseTracker;
pub use outcome::Outcome;
pub use outcome_kind::OutcomeKind;
pub use outcome_totals::OutcomeTotals;
pub use quarantine::Quarantine;
pub use quarantine_action::QuarantineAction;
pub use quarantine_event::QuarantineEvent;
pub use quarantine_summary::QuarantineSummary;
pub use server_state::ServerState;
pub use server_summary::ServerSummary;
pub use summary::Summary;
pub use thresholds::Thresholds;
