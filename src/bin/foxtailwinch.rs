//! Command-line tool for operators.

use std::process;

use foxtailwinch::tool;

#[tokio::main(flavor = "current_thread")]
async fn main() -> process::ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    process::ExitCode::from(tool::main(&args).await as u8)
}
