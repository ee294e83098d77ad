//! Comparison of callers' histories with servers' run logs.

use foxtailwinch::verdict;

use crate::{backend, caller, history};

/// Attempts of callers and runs of servers, checked against each other.
#[derive(Clone, Debug, Default)]
pub struct HistoryCheck {
    allow_missing_runs: bool,
    attempts: Vec<caller::HistoryRecord>,
    runs: Vec<backend::RunRecord>,
}

impl HistoryCheck {
    /// Creates an empty check. With `allow_missing_runs`, a response without a
    /// run is no violation.
    #[must_use]
    pub fn new(allow_missing_runs: bool) -> Self {
        Self {
            allow_missing_runs,
            ..Self::default()
        }
    }

    /// Adds the attempts of a caller's history.
    pub fn add_attempts(&mut self, attempts: Vec<caller::HistoryRecord>) {
        self.attempts.extend(attempts);
    }

    /// Adds the runs of a server.
    pub fn add_runs(&mut self, runs: Vec<backend::RunRecord>) {
        self.runs.extend(runs);
    }

    /// Returns the number of attempts, runs and keys under check.
    #[must_use]
    pub fn summary(&self) -> history::Summary {
        let answered = self.attempts.iter().filter(|attempt| is_answered(attempt));
        let not_run = self.attempts.iter().filter(|attempt| is_not_run(attempt));
        history::Summary {
            answered_attempts: answered.count(),
            attempts: self.attempts.len(),
            keys_run: self.servers_by_key().len(),
            not_run_attempts: not_run.count(),
            runs: self.runs.len(),
        }
    }

    /// Returns all violations.
    #[must_use]
    pub fn violations(&self) -> Vec<history::Violation> {
        let mut violations = self.double_runs();
        violations.extend(self.false_not_run_verdicts());
        violations.extend(self.wrong_responses());
        if !self.allow_missing_runs {
            violations.extend(self.responses_without_runs());
        }
        violations
    }

    fn responses_without_runs(&self) -> Vec<history::Violation> {
        let ran: indexmap::IndexSet<(&str, &str, &str)> = self
            .runs
            .iter()
            .map(|run| {
                (
                    run.server.as_str(),
                    run.request_id.as_str(),
                    run.fingerprint.as_str(),
                )
            })
            .collect();
        let answered = self.attempts.iter().filter(|attempt| is_answered(attempt));
        let missing = answered.filter_map(|attempt| {
            let server = attempt.server.as_deref().unwrap_or_default();
            let run = (
                server,
                attempt.request_id.as_str(),
                attempt.body_sha256.as_str(),
            );
            (!ran.contains(&run)).then(|| history::Violation::ResponseWithoutRun {
                request_id: attempt.request_id.clone(),
                server: server.to_owned(),
            })
        });
        missing.collect()
    }

    fn double_runs(&self) -> Vec<history::Violation> {
        let doubled = self
            .servers_by_key()
            .into_iter()
            .filter(|(_, servers)| servers.len() > 1);
        doubled
            .map(|(key, servers)| history::Violation::RanTwice {
                key: key.to_owned(),
                servers: servers.into_iter().map(str::to_owned).collect(),
            })
            .collect()
    }

    fn wrong_responses(&self) -> Vec<history::Violation> {
        let wrong = self
            .attempts
            .iter()
            .filter(|attempt| attempt.outcome == "wrong");
        wrong
            .map(|attempt| history::Violation::WrongResponse {
                reason: attempt.reason.clone().unwrap_or_default(),
                request_id: attempt.request_id.clone(),
            })
            .collect()
    }

    /// Returns the servers that ran each key, with one entry per run.
    fn servers_by_key(&self) -> indexmap::IndexMap<&str, Vec<&str>> {
        let mut servers: indexmap::IndexMap<&str, Vec<&str>> = indexmap::IndexMap::new();
        for run in &self.runs {
            if let Some(key) = &run.idempotency_key {
                servers.entry(key).or_default().push(&run.server);
            }
        }
        servers
    }

    fn servers_by_request_id(&self) -> indexmap::IndexMap<&str, Vec<&str>> {
        let mut servers: indexmap::IndexMap<&str, Vec<&str>> = indexmap::IndexMap::new();
        for run in &self.runs {
            servers
                .entry(&run.request_id)
                .or_default()
                .push(&run.server);
        }
        servers
    }

    fn false_not_run_verdicts(&self) -> Vec<history::Violation> {
        let by_key = self.servers_by_key();
        let by_request_id = self.servers_by_request_id();
        let not_run = self.attempts.iter().filter(|attempt| is_not_run(attempt));
        let false_verdicts = not_run.filter_map(|attempt| {
            let (name, servers) = match &attempt.key {
                Some(key) => (key, by_key.get(key.as_str())),
                None => (
                    &attempt.request_id,
                    by_request_id.get(attempt.request_id.as_str()),
                ),
            };
            Some(history::Violation::NotRunButRan {
                key: name.clone(),
                servers: servers?.iter().copied().map(str::to_owned).collect(),
            })
        });
        false_verdicts.collect()
    }
}

fn is_answered(attempt: &caller::HistoryRecord) -> bool {
    attempt.outcome == caller::AttemptOutcome::Answered.as_str()
}

/// Returns whether the fleet refused the attempt as not run. An attempt without
/// a connection is left out, because it does not tell whether an earlier
/// attempt has run.
fn is_not_run(attempt: &caller::HistoryRecord) -> bool {
    attempt.outcome == "refused" && attempt.verdict == Some(verdict::RunVerdict::NotRun)
}
