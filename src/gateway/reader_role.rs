//! Part of this VM in the reads of the platform's store.

/// Part of this VM in the reads of the platform's store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ReaderRole {
    /// Whether this VM reads the store continually for its region.
    pub is_reader: bool,
    /// Whether the settings name this VM as a seed, so that VMs that start ask it
    /// for the state first.
    pub is_seed: bool,
    /// Number of VMs of the region that are preferred to this VM as readers,
    /// whether or not they can read the store at present.
    pub preferred_count: u64,
}

impl ReaderRole {
    /// Time after the start of a VM from which its rank counts, in milliseconds. By
    /// then, it knows most of its peers.
    pub const RANK_KNOWN_MS: u64 = 1_200;

    /// Returns whether a VM is a reader by its rank, at `now_ms` of its clock, which
    /// starts at 0.
    ///
    /// `readable_count` is the number of preferred VMs that can read the store, and
    /// `reader_count` the number of readers of a region.
    #[must_use]
    pub const fn is_reader_by_rank(now_ms: u64, readable_count: u64, reader_count: u64) -> bool {
        now_ms >= Self::RANK_KNOWN_MS && readable_count < reader_count
    }
}
