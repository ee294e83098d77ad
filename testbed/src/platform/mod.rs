//! Stand-in platform with a log service and a VM list.

mod append_error;
mod args;
mod faults;
mod log;
mod platform_service;
mod read_result;
mod record;
mod stream;
mod vm;
mod vm_change;
mod vm_list;

pub use append_error::AppendError;
pub use args::Args;
pub use faults::Faults;
pub use log::Log;
pub use platform_service::PlatformService;
pub use read_result::ReadResult;
pub use record::Record;
pub use stream::Stream;
pub use vm::Vm;
pub use vm_change::VmChange;
pub use vm_list::VmList;
