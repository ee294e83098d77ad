//! Command-line options of the daemon.

/// Options of `foxtailwinchd`.
#[derive(Debug, gumdrop::Options)]
pub struct Options {
    /// Only checks the settings.
    #[options(no_short, help = "check the settings file, then exit")]
    pub check: bool,
    /// Prints help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The settings file.
    #[options(no_short, help = "settings file (YAML)", meta = "FILE")]
    pub settings: String,
}
