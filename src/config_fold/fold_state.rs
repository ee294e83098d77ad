//! Everything that the fold remembers.

use std::sync;

use crate::bundle;
use crate::config_fold;
use crate::config_fold::{rules, snapshot_error};

/// Everything that the fold remembers. Two VMs that have folded the same
/// records have equal states.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct FoldState {
    /// Digest of the folded history.
    pub chain_digest: String,
    /// Leases by name.
    pub leases: indexmap::IndexMap<String, config_fold::Lease>,
    /// Newest time stamp of a folded record, in milliseconds since the Unix
    /// epoch by the log's clock.
    pub log_unix_ms: u64,
    /// Offset of the next record to fold.
    pub next_offset: u64,
    /// Time stamp before which no record is needed to reach this state from
    /// the log, in milliseconds since the Unix epoch.
    pub oldest_needed_unix_ms: u64,
    /// Bundles that are in force or can still be, by version.
    pub proposals: indexmap::IndexMap<String, config_fold::Proposal>,
    /// Ids of the last folded records, oldest first.
    pub recent_record_ids: indexmap::IndexSet<String>,
    /// Rehearsals by id, oldest first.
    pub rehearsals: indexmap::IndexMap<String, config_fold::Rehearsal>,
    /// Roll-outs, oldest first; the last one is in force.
    pub rollouts: Vec<config_fold::Rollout>,
    /// Versions that lost their base to another one, oldest first.
    pub superseded_versions: indexmap::IndexSet<String>,
}

impl FoldState {
    /// Gives the roll-out in force.
    #[must_use]
    pub fn current_rollout(&self) -> Option<&config_fold::Rollout> {
        self.rollouts.last()
    }

    /// Gives the version in force.
    #[must_use]
    pub fn current_version(&self) -> Option<&str> {
        self.current_rollout()
            .map(|rollout| rollout.bundle_version.as_str())
    }

    /// Checks the state against itself and gives the bundle in force.
    pub(super) fn load_in_force(
        &self,
    ) -> Result<Option<config_fold::InForce>, config_fold::SnapshotError> {
        self.check_offsets()?;
        self.check_proposals()?;
        let Some(rollout) = self.current_rollout() else {
            return Ok(None);
        };
        let Some(proposal) = self.proposals.get(&rollout.bundle_version) else {
            let problem = "the bundle in force has no content";
            return snapshot_error::InconsistentSnafu { problem }.fail();
        };
        if proposal.digest != rollout.digest {
            let problem = "the bundle in force has another digest than its roll-out";
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

    /// Checks that each proposal could be folded, so that its roll-out can rely
    /// on it.
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
            let problem = "roll-outs out of order";
            return snapshot_error::InconsistentSnafu { problem }.fail();
        }
        let proposals = self.proposals.values().map(|proposal| proposal.offset);
        if offsets
            .chain(proposals)
            .any(|offset| offset >= self.next_offset)
        {
            let problem = "an offset beyond its end";
            return snapshot_error::InconsistentSnafu { problem }.fail();
        }
        Ok(())
    }
}
