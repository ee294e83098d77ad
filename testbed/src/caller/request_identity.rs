//! Id and idempotency key of a request.

/// Id and idempotency key of a request. A resend that must not run twice keeps
/// them; any other resend gets new ones.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestIdentity {
    /// Idempotency key; `None` if the request has none.
    pub idempotency_key: Option<String>,
    /// Id of the request.
    pub request_id: String,
}

impl RequestIdentity {
    /// Creates an identity from a name that is unique among all callers. An
    /// idempotency key gets the key prefix of the entry point through which it
    /// is first sent.
    #[must_use]
    pub fn new(name: &str, keyed: bool, key_prefix: &str) -> Self {
        Self {
            idempotency_key: keyed.then(|| prefixed_key(key_prefix, name)),
            request_id: name.to_owned(),
        }
    }
}

fn prefixed_key(key_prefix: &str, name: &str) -> String {
    if key_prefix.is_empty() {
        name.to_owned()
    } else {
        format!("{key_prefix}.{name}")
    }
}
