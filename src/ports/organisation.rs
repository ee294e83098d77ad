//! Organisations whose callers identify themselves by keys.

use std::fmt;

use sha2::Digest as _;

/// Organisation whose callers identify themselves by keys.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Organisation {
    /// Limit on the requests of all its callers at all entry VMs together; `None` if
    /// there is none.
    pub allowance: Option<Allowance>,
    /// Digests of the keys of its callers.
    pub key_digests: Vec<KeyDigest>,
    /// Name, which backend servers receive.
    pub name: String,
    /// Priority of its requests, which takes precedence over that of their route;
    /// `None` if the route's applies. 0 is the highest.
    pub priority: Option<u32>,
}

/// Limit on the requests of an organisation: a token bucket for the whole fleet.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Allowance {
    /// Requests that may exceed the rate in a burst, in thousandths of a request. Less
    /// than one request counts as one, since nothing would be let through otherwise.
    pub burst_milli: u64,
    /// Sustained rate, in thousandths of a request per second.
    pub rate_milli_per_s: u64,
}

/// SHA-256 digest of a caller's key. The key itself is not kept.
#[derive(
    Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
#[serde(into = "String", try_from = "String")]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Returns the digest of a key.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        Self(sha2::Sha256::digest(key).into())
    }

    /// Returns the digest of this digest, a secret and the id of a request. Whoever knows
    /// it has the key or its digest, and the secret; it proves nothing for another
    /// request.
    #[must_use]
    pub fn proof(&self, secret: &Self, request_id: &str) -> Self {
        let digest = sha2::Sha256::new().chain_update(self.0);
        let digest = digest.chain_update(secret.0);
        Self(digest.chain_update(request_id).finalize().into())
    }

    /// Returns what the holders of all keys know together: the digests combined by
    /// exclusive or.
    #[must_use]
    pub fn combined<'a>(digests: impl IntoIterator<Item = &'a Self>) -> Self {
        let mut combined = [0; 32];
        for digest in digests {
            for (byte, other) in combined.iter_mut().zip(digest.0) {
                *byte ^= other;
            }
        }
        Self(combined)
    }

    /// Returns the digest as hexadecimal digits.
    #[must_use]
    pub fn to_hex(&self) -> String {
        let mut text = String::with_capacity(2 * self.0.len());
        for byte in self.0 {
            for half in [byte >> 4, byte & 0xf] {
                text.extend(char::from_digit(u32::from(half), 16));
            }
        }
        text
    }

    /// Returns the digest that hexadecimal digits stand for; `None` for anything else.
    #[must_use]
    pub fn from_hex(text: &str) -> Option<Self> {
        let mut digest = [0; 32];
        if text.len() != 2 * digest.len() || !text.is_ascii() {
            return None;
        }
        for (index, byte) in digest.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
        }
        Some(Self(digest))
    }
}

impl From<KeyDigest> for String {
    fn from(digest: KeyDigest) -> Self {
        digest.to_hex()
    }
}

impl TryFrom<String> for KeyDigest {
    type Error = &'static str;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        Self::from_hex(&text).ok_or("expected 64 hexadecimal digits")
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "KeyDigest({}..)", &self.to_hex()[..8])
    }
}
