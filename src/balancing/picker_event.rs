//! Events recorded by pickers.

/// Event on a backend server that a [`Picker`](crate::balancing::Picker) may
/// use for later picks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PickerEvent<'a> {
    /// A request on the server ended, successfully or not.
    Finished {
        /// Id of the server.
        server_id: &'a str,
    },
    /// A request was sent to the server.
    Sent {
        /// Id of the server.
        server_id: &'a str,
    },
    /// The server refused a request because its slots were full.
    Shed {
        /// Id of the server.
        server_id: &'a str,
    },
}
