//! The reference record of all runs and replies.

use foxtailwinch::claims;
use foxtailwinch::verdict;

/// Reference record of the runs and verdicts of each key and of the replies to
/// each attempt. Detects violations of at-most-once execution.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    attempts: indexmap::IndexMap<u64, Attempt>,
    keys: indexmap::IndexMap<claims::ClaimKey, KeyHistory>,
    pub violation: Option<String>,
    pub not_run_count: usize,
    pub response_count: usize,
    pub may_have_run_count: usize,
    pub streamed_count: usize,
}

#[derive(Clone, Debug)]
struct Attempt {
    fingerprint: u64,
    key: claims::ClaimKey,
}

#[derive(Clone, Debug, Default)]
struct KeyHistory {
    may_have_run: bool,
    ran_fingerprint: u64,
    reported_not_run: bool,
    run_count: usize,
}

impl Ledger {
    pub fn record_attempt(&mut self, attempt_id: u64, fingerprint: u64, key: &claims::ClaimKey) {
        let key = key.clone();
        self.attempts
            .insert(attempt_id, Attempt { fingerprint, key });
    }

    /// Records that the attempt is run and that its response is streamed.
    pub fn record_streaming(&mut self, attempt_id: u64) {
        if self.attempts.swap_remove(&attempt_id).is_some() {
            self.streamed_count += 1;
        }
    }

    /// Removes an attempt whose caller has disconnected.
    pub fn forget_attempt(&mut self, attempt_id: u64) {
        self.attempts.swap_remove(&attempt_id);
    }

    pub fn open_attempt_count(&self) -> usize {
        self.attempts.len()
    }

    pub fn record_run(&mut self, key: &claims::ClaimKey, fingerprint: u64) {
        let history = self.keys.entry(key.clone()).or_default();
        history.run_count += 1;
        history.may_have_run = true;
        history.ran_fingerprint = fingerprint;
        if history.run_count > 1 {
            self.violation = Some(format!("{} started twice", key.caller_key));
        }
        self.check(key);
    }

    /// Records that the run provably had no effect.
    pub fn record_proof_of_not_run(&mut self, key: &claims::ClaimKey) {
        self.keys.entry(key.clone()).or_default().may_have_run = false;
    }

    pub fn ran_fingerprint(&self, key: &claims::ClaimKey) -> u64 {
        self.keys
            .get(key)
            .map_or(0, |history| history.ran_fingerprint)
    }

    pub fn record_not_run(&mut self, key: &claims::ClaimKey) {
        self.keys.entry(key.clone()).or_default().reported_not_run = true;
        self.not_run_count += 1;
        self.check(key);
    }

    pub fn record_refusal(&mut self, attempt_id: u64, refusal: &verdict::Refusal) {
        let Some(attempt) = self.attempts.swap_remove(&attempt_id) else {
            self.violation = Some(format!("attempt {attempt_id} received two replies"));
            return;
        };
        match refusal.verdict {
            verdict::RunVerdict::MayHaveRun => self.may_have_run_count += 1,
            verdict::RunVerdict::NotRun => self.record_not_run(&attempt.key),
        }
    }

    pub fn record_response(&mut self, attempt_id: u64, response: &claims::StoredResponse) {
        let Some(attempt) = self.attempts.swap_remove(&attempt_id) else {
            self.violation = Some(format!("attempt {attempt_id} received two replies"));
            return;
        };
        self.response_count += 1;
        if *response != response_of(&attempt.key, attempt.fingerprint, response.body.len()) {
            self.violation = Some(format!(
                "attempt {attempt_id} received the response of another request"
            ));
        }
    }

    fn check(&mut self, key: &claims::ClaimKey) {
        let history = &self.keys[key];
        if history.reported_not_run && history.may_have_run {
            self.violation = Some(format!(
                "{} ran but was reported as not run",
                key.caller_key
            ));
        }
    }
}

/// Returns the only correct response to a key, with a body of at least `length`
/// bytes.
pub fn response_of(
    key: &claims::ClaimKey,
    fingerprint: u64,
    length: usize,
) -> claims::StoredResponse {
    let text = format!("{}|{fingerprint}|", key.caller_key);
    let body: Vec<u8> = text.bytes().cycle().take(length.max(text.len())).collect();
    claims::StoredResponse {
        body: body.into(),
        headers: Vec::new(),
        request_fingerprint: fingerprint,
        status: 200,
    }
}
