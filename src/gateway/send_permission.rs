//! Whether a backend server may be sent a request now.

/// Whether a backend server may be sent a request now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendPermission {
    /// The server may be sent a request.
    Granted,
    /// The server leaves and gets no further request.
    Leaving,
    /// The limit that the server has named is used up until this time in milliseconds.
    Limited(u64),
    /// The server rests until this time in milliseconds.
    Resting(u64),
}

impl SendPermission {
    /// Returns when the server may be sent a request again, if it may not now.
    #[must_use]
    pub const fn open_ms(self) -> Option<u64> {
        match self {
            Self::Limited(open_ms) | Self::Resting(open_ms) => Some(open_ms),
            Self::Granted | Self::Leaving => None,
        }
    }
}
