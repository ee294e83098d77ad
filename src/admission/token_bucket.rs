//! Token bucket.

/// Used part of a token bucket, in the unit of its user.
///
/// The part may exceed the size of the bucket: tokens that were taken elsewhere are
/// known only later. The level is then below zero.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct TokenBucket {
    used: u64,
}

impl TokenBucket {
    /// Creates a bucket of which `used` tokens are taken.
    pub(crate) const fn with_used(used: u64) -> Self {
        Self { used }
    }

    /// Puts back up to `tokens` tokens.
    pub(crate) const fn refill(&mut self, tokens: u64) {
        self.used = self.used.saturating_sub(tokens);
    }

    /// Takes tokens, also if there are fewer.
    pub(crate) const fn take(&mut self, tokens: u64) {
        self.used = self.used.saturating_add(tokens);
    }

    /// Takes tokens until no more than `size - reserved` are left.
    pub(crate) const fn reserve(&mut self, reserved: u64) {
        if self.used < reserved {
            self.used = reserved;
        }
    }

    /// Takes tokens if a bucket of this size has them.
    ///
    /// # Errors
    ///
    /// Returns the number of missing tokens.
    pub(crate) const fn try_take(&mut self, tokens: u64, size: u64) -> Result<(), u64> {
        let used = self.used.saturating_add(tokens);
        if used > size {
            return Err(used - size);
        }
        self.used = used;
        Ok(())
    }

    /// Returns the tokens in a bucket of this size; below zero if more were taken.
    pub(crate) const fn level(self, size: u64) -> i64 {
        size.cast_signed().saturating_sub(self.used.cast_signed())
    }

    /// Returns whether no token is taken.
    pub(crate) const fn is_full(self) -> bool {
        self.used == 0
    }
}
