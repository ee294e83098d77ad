//! Actions that the ejection holder requests.

/// Actions that the ejection holder requests from its driver.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HolderAction {
    /// Send the server no requests until `until_ms`.
    Eject { server_id: String, until_ms: u64 },
    /// Report that the ejection is over.
    EjectionOver { server_id: String },
    /// Report that the ejection was refused or the decider did not respond in
    /// time.
    Refused {
        retry_after_ms: u64,
        server_id: String,
    },
}
