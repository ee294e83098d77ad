//! Progress of one request.

use std::net;

use foxtailwinch::verdict;

use crate::caller;

/// Progress of one request: the number of its next attempt and the identity to
/// send it under.
#[derive(Clone, Debug)]
pub struct RequestProgress {
    attempt: u32,
    avoided: Option<net::SocketAddr>,
    identity: Option<caller::RequestIdentity>,
    may_have_run: bool,
    name: String,
    rules: caller::ResendRules,
}

impl RequestProgress {
    /// Creates the progress of a request that has not been sent. `name` is
    /// unique among all requests of all callers.
    #[must_use]
    pub const fn new(name: String, rules: caller::ResendRules) -> Self {
        Self {
            attempt: 1,
            avoided: None,
            identity: None,
            may_have_run: false,
            name,
            rules,
        }
    }

    /// Returns the number of the next attempt, from 1.
    #[must_use]
    pub const fn attempt(&self) -> u32 {
        self.attempt
    }

    /// Returns the entry point to avoid, which is that of the last attempt.
    #[must_use]
    pub const fn avoided(&self) -> Option<net::SocketAddr> {
        self.avoided
    }

    /// Returns the identity for the next attempt. A new idempotency key gets
    /// the prefix of the entry point that the attempt is sent through.
    pub fn identity(&mut self, key_prefix: &str) -> caller::RequestIdentity {
        let name = format!("{}-{}", self.name, self.attempt);
        self.identity
            .get_or_insert_with(|| {
                caller::RequestIdentity::new(&name, self.rules.keyed, key_prefix)
            })
            .clone()
    }

    /// Records the outcome of the attempt sent to `address`. Returns the time
    /// to wait before the next attempt in milliseconds, or `None` if there is
    /// no further attempt.
    pub fn advance(
        &mut self,
        address: Option<net::SocketAddr>,
        outcome: &caller::AttemptOutcome,
    ) -> Option<u64> {
        let next_step = self
            .rules
            .next_step(self.attempt, self.may_have_run, outcome);
        let wait_ms = match next_step {
            caller::NextStep::Finish => return None,
            caller::NextStep::ResendNewKey { wait_ms } => {
                self.may_have_run = false;
                self.identity = None;
                wait_ms
            }
            caller::NextStep::ResendSameKey { wait_ms } => {
                self.may_have_run |= outcome.verdict() == Some(verdict::RunVerdict::MayHaveRun);
                wait_ms
            }
        };
        self.attempt += 1;
        self.avoided = address;
        Some(wait_ms)
    }
}
