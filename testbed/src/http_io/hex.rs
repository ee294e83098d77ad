//! Hexadecimal encoding.

use std::fmt::Write as _;

/// Returns `bytes` in hexadecimal digits.
#[must_use]
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut digits, byte| {
        let _ = write!(digits, "{byte:02x}");
        digits
    })
}
