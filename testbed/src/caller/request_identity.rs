//! What names a request.

/// What names a request: kept by a resend that must not run twice, renewed by
/// one that starts over.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestIdentity {
    /// The idempotency key; `None` if the request has none.
    pub idempotency_key: Option<String>,
    /// The request's id.
    pub request_id: String,
}

impl RequestIdentity {
    /// Gives an identity from its name, unique over all callers, and the key
    /// prefix of the entry point it is first sent through.
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
