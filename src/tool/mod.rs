//! The operators' command line.

mod bundle_check;
mod bundle_diff;
mod bundle_history;
mod bundle_publish;
mod bundle_roll_out;
mod bundle_sign_off;
mod bundle_status;
mod command_output;
mod exit_code;
mod fleet_status;
mod global_options;
mod http_status_client;
mod log_view;
mod options;
mod output_format;
mod rehearsal_list;
mod rehearsal_report;
mod rehearsal_schedule;
mod run;
mod session;
mod status_client;
mod table;
mod tool_error;
mod vm_status;

pub use command_output::CommandOutput;
pub use exit_code::ExitCode;
pub use global_options::GlobalOptions;
pub use http_status_client::HttpStatusClient;
pub use log_view::LogView;
pub use output_format::OutputFormat;
pub use run::{main, run};
pub use session::Session;
pub use status_client::StatusClient;
pub use tool_error::ToolError;
pub use vm_status::{Ejection, VmStatus};
