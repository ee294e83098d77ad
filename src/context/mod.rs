//! Environment of a process, replaceable in tests.

mod clock;
mod manual_clock;
mod process_context;
mod system_clock;

pub use clock::Clock;
pub use manual_clock::ManualClock;
pub use process_context::Context;
pub use system_clock::SystemClock;
