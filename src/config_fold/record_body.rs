//! Kind and content of a record.

use crate::config_fold;

/// Kind and content of a record.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum RecordBody {
    /// An operator proposes a bundle.
    BundleProposed {
        /// Version that was in force when the bundle was created, or `None` if there
        /// was none.
        base_version: Option<String>,
        /// Unique id of the new version.
        bundle_version: String,
        /// The bundle in YAML.
        content: String,
        /// SHA-256 of `content` in hexadecimal digits.
        digest: String,
        /// Operator who proposes it.
        operator: String,
    },
    /// A VM stores its configuration state, so that older records may expire.
    Checkpoint {
        /// Offset of the last record that was applied to `state`.
        covers_offset: u64,
        /// Configuration state of the VM.
        state: Box<config_fold::FoldState>,
    },
    /// A VM takes or renews a lease.
    LeaseTaken {
        /// Duration of the lease from the append of this record, in milliseconds.
        duration_ms: u64,
        /// Holder: the VM with its incarnation.
        holder: String,
        /// Name of the lease.
        name: String,
        /// Term, which must increase with each change of holder.
        term: u64,
    },
    /// An operator ends a rehearsal early.
    RehearsalEnded {
        /// Operator who ends it.
        operator: String,
        /// Reason for the early end.
        reason: String,
        /// Id of the rehearsal.
        rehearsal_id: String,
    },
    /// An operator schedules a rehearsal.
    RehearsalScheduled {
        /// Duration of the rehearsal, in milliseconds.
        duration_ms: u64,
        /// Effect on the backend servers.
        effect: RehearsalEffect,
        /// Operator who schedules it.
        operator: String,
        /// Unique id of the new rehearsal.
        rehearsal_id: String,
        /// Ids of the affected backend servers of the service.
        server_ids: Vec<String>,
        /// Name of the service.
        service: String,
        /// Time from the append of this record to the start of the rehearsal, in
        /// milliseconds.
        #[serde(default)]
        start_delay_ms: u64,
        /// State of the fleet when the rehearsal was scheduled, or `None` if it was
        /// not queried.
        #[serde(default)]
        state_before: Option<config_fold::FleetState>,
    },
    /// An operator puts a bundle in force.
    RolledOut {
        /// Version that the operator expects to be in force, or `None` if none.
        base_version: Option<String>,
        /// Version to put in force.
        bundle_version: String,
        /// Operator who rolls it out.
        operator: String,
    },
    /// An operator signs off a proposed bundle.
    SignedOff {
        /// Version of the bundle.
        bundle_version: String,
        /// Operator who signs it off.
        operator: String,
    },
}

/// Effect of a rehearsal on its backend servers.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RehearsalEffect {
    /// The servers receive no new requests.
    DrainServers,
}
