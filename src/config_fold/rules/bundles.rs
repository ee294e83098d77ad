//! Rules for proposals, sign-offs and roll-outs of bundles.

use crate::bundle;
use crate::config_fold;
use crate::config_fold::rules;

/// Largest bundle in YAML, in bytes.
const BUNDLE_LIMIT_BYTES: usize = 16 * 1024 * 1024;

/// Largest number of proposals besides the one in force. A new proposal replaces
/// the oldest one.
const PROPOSAL_LIMIT_COUNT: usize = 16;

/// Number of most recent roll-outs that are kept.
const ROLLOUT_LIMIT_COUNT: usize = 256;

/// Number of most recently superseded versions that are kept, to name the version
/// in force when one of them is signed off or rolled out.
const SUPERSEDED_LIMIT_COUNT: usize = 256;

pub fn propose(
    state: &mut config_fold::FoldState,
    bundle_version: &str,
    proposal: config_fold::Proposal,
) -> Result<config_fold::FoldEvent, config_fold::Rejection> {
    let version = bundle_version.to_owned();
    let is_version = |rollout: &config_fold::Rollout| rollout.bundle_version == version;
    if state.proposals.contains_key(bundle_version)
        || state.superseded_versions.contains(bundle_version)
        || state.rollouts.iter().any(is_version)
    {
        return Err(config_fold::Rejection::VersionTaken {
            bundle_version: version,
        });
    }
    if proposal.base_version.as_deref() != state.current_version() {
        return Err(stale_base(state, bundle_version));
    }
    if bundle::digest(&proposal.content) != proposal.digest {
        return Err(config_fold::Rejection::DigestMismatch {
            bundle_version: version,
        });
    }
    if let Some(problem) = find_bundle_problem(&proposal.content) {
        return Err(config_fold::Rejection::BadBundle {
            bundle_version: version,
            problem,
        });
    }
    let in_force = usize::from(state.current_version().is_some());
    if state.proposals.len() >= PROPOSAL_LIMIT_COUNT + in_force {
        let oldest = state
            .proposals
            .keys()
            .position(|version| Some(version.as_str()) != state.current_version());
        if let Some(index) = oldest {
            state.proposals.shift_remove_index(index);
        }
    }
    let offset = proposal.offset;
    state.proposals.insert(version.clone(), proposal);
    Ok(config_fold::FoldEvent::BundleProposed { offset, version })
}

/// Returns the first problem of a bundle in YAML, or `None` if it is valid.
pub fn find_bundle_problem(content: &str) -> Option<String> {
    if content.len() > BUNDLE_LIMIT_BYTES {
        return Some(format!("more than {BUNDLE_LIMIT_BYTES} bytes"));
    }
    match bundle::parse(content) {
        Err(error) => Some(error.to_string()),
        Ok(bundle) => bundle::check(&bundle).first().map(ToString::to_string),
    }
}

pub fn sign_off(
    state: &mut config_fold::FoldState,
    bundle_version: &str,
    operator: &str,
) -> Result<config_fold::FoldEvent, config_fold::Rejection> {
    let unknown_version = unknown_version(state, bundle_version);
    let bundle_version = bundle_version.to_owned();
    let Some(proposal) = state.proposals.get_mut(&bundle_version) else {
        return Err(unknown_version);
    };
    if proposal.operator == operator {
        return Err(config_fold::Rejection::SignOffByProposer {
            bundle_version,
            operator: operator.to_owned(),
        });
    }
    if !proposal.signed_off_by.iter().any(|name| name == operator) {
        proposal.signed_off_by.push(operator.to_owned());
    }
    Ok(config_fold::FoldEvent::BundleSignedOff {
        operator: operator.to_owned(),
        version: bundle_version,
    })
}

pub fn roll_out(
    state: &mut config_fold::FoldState,
    position: rules::RecordPosition,
    base_version: Option<&str>,
    bundle_version: &str,
    operator: &str,
) -> Result<config_fold::FoldEvent, config_fold::Rejection> {
    if base_version != state.current_version() {
        return Err(stale_base(state, bundle_version));
    }
    let version = bundle_version.to_owned();
    let Some(proposal) = state.proposals.get(bundle_version) else {
        return Err(unknown_version(state, bundle_version));
    };
    if proposal.base_version.as_deref() != base_version {
        return Err(config_fold::Rejection::BaseMismatch {
            bundle_version: version,
        });
    }
    if proposal.signed_off_by.is_empty() {
        return Err(config_fold::Rejection::NotSignedOff {
            bundle_version: version,
        });
    }
    let rollout = config_fold::Rollout {
        appended_unix_ms: position.log_unix_ms,
        base_version: base_version.map(str::to_owned),
        bundle_version: version.clone(),
        digest: proposal.digest.clone(),
        offset: position.offset,
        operator: operator.to_owned(),
    };
    supersede_others(state, &version);
    if state.rollouts.len() >= ROLLOUT_LIMIT_COUNT {
        state.rollouts.remove(0);
    }
    state.rollouts.push(rollout);
    Ok(config_fold::FoldEvent::BundleInForce {
        offset: position.offset,
        version,
    })
}

fn stale_base(state: &config_fold::FoldState, bundle_version: &str) -> config_fold::Rejection {
    config_fold::Rejection::StaleBase {
        bundle_version: bundle_version.to_owned(),
        version_in_force: state.current_version().map(str::to_owned),
    }
}

fn unknown_version(state: &config_fold::FoldState, bundle_version: &str) -> config_fold::Rejection {
    if state.superseded_versions.contains(bundle_version) {
        return stale_base(state, bundle_version);
    }
    config_fold::Rejection::UnknownVersion {
        bundle_version: bundle_version.to_owned(),
    }
}

/// Removes all proposals except `version`, because their base version is no longer
/// in force and they can never be rolled out.
fn supersede_others(state: &mut config_fold::FoldState, version: &str) {
    let current = state.current_version().map(str::to_owned);
    let is_superseded = |key: &&String| key.as_str() != version && Some(*key) != current.as_ref();
    let superseded: Vec<String> = state
        .proposals
        .keys()
        .filter(is_superseded)
        .cloned()
        .collect();
    state.superseded_versions.extend(superseded);
    let excess = state
        .superseded_versions
        .len()
        .saturating_sub(SUPERSEDED_LIMIT_COUNT);
    state.superseded_versions.drain(..excess);
    state.proposals.retain(|key, _| key == version);
}
