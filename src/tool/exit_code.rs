//! Exit codes of the tool.

/// Exit code of the tool.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExitCode {
    /// The command succeeded.
    Ok = 0,
    /// The command was refused: for example, the bundle is invalid, or another
    /// operator's change came first.
    Refused = 1,
    /// The command line is invalid, or a file cannot be read.
    Usage = 2,
    /// The log cannot be reached or read completely; nothing was changed.
    LogUnavailable = 3,
    /// It is unknown whether the change took effect, or not all VMs have
    /// applied it.
    OutcomeUnknown = 4,
}
