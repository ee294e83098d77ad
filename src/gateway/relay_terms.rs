//! Terms on which an entry VM relays a request to another one.

use std::fmt;
use std::str;

/// Terms on which an entry VM relays a request to another one, in a header.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RelayTerms {
    /// Maximum number of servers that the request may still reach.
    pub max_attempts: u32,
    /// Least version of the configuration by which the request may be handled.
    pub version: u64,
}

impl fmt::Display for RelayTerms {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{};{}", self.max_attempts, self.version)
    }
}

impl str::FromStr for RelayTerms {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (max_attempts, version) = text.split_once(';').unwrap_or((text, "0"));
        Ok(Self {
            max_attempts: max_attempts.parse()?,
            version: version.parse()?,
        })
    }
}
