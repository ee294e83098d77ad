//! The state of a member as one VM sees it.

/// State of a member as one VM sees it.
///
/// Of two states with the same version, the one that is later in this list
/// wins.
#[derive(
    Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// The member acknowledges pings.
    Alive,
    /// The member announced that it leaves.
    Leaving,
    /// The member did not acknowledge a probe and may still refute the
    /// suspicion.
    Suspect,
    /// The member did not refute the suspicion in time.
    Dead,
}
