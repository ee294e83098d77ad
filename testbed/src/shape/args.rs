//! Arguments of `print-shape`.

use crate::shape;

/// Prints the bundle of an operator's system, or the list of its servers. All
/// servers have addresses on one machine.
#[derive(Clone, Debug, gumdrop::Options)]
pub struct Args {
    /// Prints this help.
    pub help: bool,
    /// Operator of the system: lebo or tazas.
    #[options(required, no_short, meta = "NAME")]
    pub customer: Option<shape::Customer>,
    /// Share of the servers to run; each service keeps at least two.
    #[options(no_short, meta = "S", default = "1")]
    pub scale: f64,
    /// Port of the first server; the following servers get the following ports.
    #[options(no_short, meta = "PORT", default = "8001")]
    pub first_port: u16,
    /// Prints one line per server: name, address, slots, mean run time in
    /// milliseconds.
    #[options(no_short)]
    pub servers: bool,
}
