//! Stand-in caller that keeps entry points, resends requests and checks every
//! response.

mod args;
mod attempt_outcome;
mod attempt_request;
mod attempt_result;
mod caller_error;
mod caller_run;
mod entry_point;
mod entry_point_response;
mod entry_points;
mod history_record;
mod next_step;
mod output_format;
mod report;
mod request_body;
mod request_identity;
mod request_progress;
mod resend_rules;
mod response_check;
mod settings;
mod transport;

pub use args::Args;
pub use attempt_outcome::AttemptOutcome;
pub use attempt_request::AttemptRequest;
pub use attempt_result::AttemptResult;
pub use caller_error::CallerError;
pub use caller_run::CallerRun;
pub use entry_point::EntryPoint;
pub use entry_point_response::EntryPointResponse;
pub use entry_points::EntryPoints;
pub use history_record::HistoryRecord;
pub use next_step::NextStep;
pub use output_format::OutputFormat;
pub use report::Report;
pub use request_body::RequestBody;
pub use request_identity::RequestIdentity;
pub use request_progress::RequestProgress;
pub use resend_rules::ResendRules;
pub use response_check::{ResponseFault, check_response};
pub use settings::Settings;
pub use transport::Transport;
