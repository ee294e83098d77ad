//! Faults that the tests inject into the driver around the unchanged state
//! machines.

/// Fault that breaks one rule of the protocol. The first six are also in the
/// model of the design.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mutant {
    /// An entry replies "not run" to a request without querying the home or the witness.
    EntryRefuses,
    /// The home evicts its keys without raising the low-water mark.
    EvictionForgets,
    /// A leaving home hands every key over as closed.
    HandOverCloses,
    /// The home runs a key although the grant arrives after the claim timeout.
    LateGrantRuns,
    /// An overloaded home refuses a request without closing the key.
    RefusalLeavesOpen,
    /// The witness accepts keys that name another incarnation of its VM.
    WitnessIgnoresIncarnation,
    /// The witness runs a key that it has sealed.
    WitnessRuns,
}
