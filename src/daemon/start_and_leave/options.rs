//! Command-line options of the daemon.

/// Command-line options of `foxtailwinchd`.
#[derive(Debug, gumdrop::Options)]
pub struct Options {
    /// Whether to check the settings file and exit.
    #[options(no_short, help = "check the settings file, then exit")]
    pub check: bool,
    /// Whether to print the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Path of the settings file.
    #[options(no_short, help = "settings file (YAML)", meta = "FILE")]
    pub settings: String,
}
