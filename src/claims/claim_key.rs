//! A complete idempotency key.

use crate::claims;

/// Maximum length of the part that the caller chooses.
const CALLER_KEY_LIMIT_BYTES: usize = 128;
/// Separates the prefix from the caller's own part.
const SEPARATOR: char = '.';

/// Complete idempotency key.
///
/// The organisation is part of the key, so that no organisation receives the
/// response of another one.
#[derive(Clone, Debug, Eq, Hash, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct ClaimKey {
    /// Part chosen by the caller, 1 to 128 bytes of visible ASCII.
    pub caller_key: String,
    /// Organisation of the caller.
    pub organisation: String,
    /// Prefix that names the home and the witness.
    pub prefix: claims::KeyPrefix,
}

impl ClaimKey {
    /// Parses the value of the key header, `prefix.own-key`.
    ///
    /// # Errors
    /// Returns a [`claims::KeyError`] if the prefix is missing or invalid, or
    /// if the part of the caller is empty, too long or not visible ASCII.
    pub fn parse(organisation: &str, header: &str) -> Result<Self, claims::KeyError> {
        let (prefix, caller_key) = header
            .split_once(SEPARATOR)
            .ok_or(claims::KeyError::PrefixMissing)?;
        let prefix = claims::KeyPrefix::parse(prefix)?;
        check_caller_key(caller_key)?;
        Ok(Self {
            caller_key: caller_key.to_owned(),
            organisation: organisation.to_owned(),
            prefix,
        })
    }

    /// Returns the memory that this key takes in a table, including the struct.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        size_of::<Self>() + self.caller_key.len() + self.organisation.len()
    }
}

fn check_caller_key(caller_key: &str) -> Result<(), claims::KeyError> {
    let length_bytes = caller_key.len();
    if length_bytes == 0 || length_bytes > CALLER_KEY_LIMIT_BYTES {
        return Err(claims::KeyError::CallerKeyLength {
            length_bytes,
            limit_bytes: CALLER_KEY_LIMIT_BYTES,
        });
    }
    if !caller_key.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err(claims::KeyError::CallerKeyCharacter);
    }
    Ok(())
}
