//! Daemon that runs on each entry VM.

use std::process;

use foxtailwinch::daemon;

fn main() -> process::ExitCode {
    daemon::main()
}
