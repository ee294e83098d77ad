//! Stand-in backend server with slots, draining, cold start and gray failure
//! modes.

mod args;
mod backend_server;
mod backend_service;
mod gray_mode;
mod gray_mode_error;
mod load_response;
mod received_body;
mod reported_load;
mod request_head;
mod response_body;
mod run_guard;
mod run_log;
mod run_outcome;
mod run_record;
mod service_time;
mod settings;
mod slots;

pub use args::Args;
pub use backend_server::BackendServer;
pub use backend_service::BackendService;
pub use gray_mode::GrayMode;
pub use gray_mode_error::GrayModeError;
pub use load_response::LoadResponse;
pub use received_body::ReceivedBody;
pub use reported_load::ReportedLoad;
pub use request_head::RequestHead;
pub use response_body::ResponseBody;
pub use run_guard::RunGuard;
pub use run_log::RunLog;
pub use run_outcome::RunOutcome;
pub use run_record::RunRecord;
pub use service_time::ServiceTime;
pub use settings::Settings;
pub use slots::{SlotGuard, Slots};
