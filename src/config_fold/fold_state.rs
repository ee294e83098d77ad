//! Configuration state built from the log.

use std::sync;

use crate::bundle;
use crate::config_fold;
use crate::config_fold::{rules, snapshot_error};

/// Configuration state built from the log.
///
/// Two VMs that have applied the same records have equal states.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct FoldState {
    /// Hash-chain digest of all applied records.
    pub chain_digest: String,
    /// Leases by name.
    pub leases: indexmap::IndexMap<String, config_fold::Lease>,
    /// Latest timestamp of an applied record, in milliseconds since the Unix
    /// epoch by the log's clock.
    pub log_unix_ms: u64,
    /// Offset of the next record to apply.
    pub next_offset: u64,
    /// Time before which a checkpoint covers all records, so that the older
    /// records are not needed to rebuild this state from the log. In milliseconds
    /// since the Unix epoch by the log's clock.
    pub oldest_needed_unix_ms: u64,
    /// Proposals by version: the one in force and those that can still be rolled
    /// out.
    pub proposals: indexmap::IndexMap<String, config_fold::Proposal>,
    /// Ids of the most recently applied records, oldest first.
    pub recent_record_ids: indexmap::IndexSet<String>,
    /// Rehearsals by id, oldest first.
    pub rehearsals: indexmap::IndexMap<String, config_fold::Rehearsal>,
    /// Roll-outs, oldest first; the last one is in force.
    pub rollouts: Vec<config_fold::Rollout>,
    /// Versions that can no longer be rolled out because another version replaced
    /// their base, oldest first.
    pub superseded_versions: indexmap::IndexSet<String>,
}

impl FoldState {
    /// Returns the roll-out in force, or `None` before the first roll-out.
    #[must_use]
    pub fn current_rollout(&self) -> Option<&config_fold::Rollout> {
        self.rollouts.last()
    }

    /// Returns the version in force, or `None` before the first roll-out.
    #[must_use]
    pub fn current_version(&self) -> Option<&str> {
        self.current_rollout()
            .map(|rollout| rollout.bundle_version.as_str())
    }

    /// Checks that the state is consistent and returns the bundle in force, or
    /// `None` before the first roll-out.
    ///
    /// # Errors
    ///
    /// Returns an error if the state is inconsistent or contains an invalid
    /// bundle.
    pub(super) fn load_in_force(
        &self,
    ) -> Result<Option<config_fold::InForce>, config_fold::SnapshotError> {
        self.check_offsets()?;
        self.check_proposals()?;
        let Some(rollout) = self.current_rollout() else {
            return Ok(None);
        };
        let Some(proposal) = self.proposals.get(&rollout.bundle_version) else {
            let problem = "it has no proposal for the version in force";
            return snapshot_error::InconsistentSnafu { problem }.fail();
        };
        if proposal.digest != rollout.digest {
            let problem = "the digests of the roll-out in force and its proposal differ";
            return snapshot_error::InconsistentSnafu { problem }.fail();
        }
        let bundle = bundle::parse(&proposal.content).or_else(|error| {
            let problem = error.to_string();
            snapshot_error::BadBundleSnafu { problem }.fail()
        })?;
        Ok(Some(config_fold::InForce {
            bundle: sync::Arc::new(bundle),
            offset: rollout.offset,
            version: rollout.bundle_version.clone(),
        }))
    }

    /// Checks the digest and the bundle of each proposal, because a roll-out does
    /// not check them again.
    fn check_proposals(&self) -> Result<(), config_fold::SnapshotError> {
        for (version, proposal) in &self.proposals {
            let problem = if bundle::digest(&proposal.content) == proposal.digest {
                rules::find_bundle_problem(&proposal.content)
            } else {
                Some("its content does not match its digest".to_owned())
            };
            if let Some(problem) = problem {
                let problem = format!("bundle `{version}`: {problem}");
                return snapshot_error::BadBundleSnafu { problem }.fail();
            }
        }
        Ok(())
    }

    fn check_offsets(&self) -> Result<(), config_fold::SnapshotError> {
        let offsets = self.rollouts.iter().map(|rollout| rollout.offset);
        if !offsets.clone().is_sorted_by(|before, after| before < after) {
            let problem = "the offsets of its roll-outs are not ascending";
            return snapshot_error::InconsistentSnafu { problem }.fail();
        }
        let proposals = self.proposals.values().map(|proposal| proposal.offset);
        if offsets
            .chain(proposals)
            .any(|offset| offset >= self.next_offset)
        {
            let problem = "a roll-out or proposal has an offset beyond the last applied record";
            return snapshot_error::InconsistentSnafu { problem }.fail();
        }
        Ok(())
    }
}
