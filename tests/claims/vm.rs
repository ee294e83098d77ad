//! One VM of a fleet: home, witness, entry and its part of the driver.

use std::net;

use foxtailwinch::claims;
use foxtailwinch::configs;

#[derive(Clone)]
pub struct Vm {
    pub entry: claims::Entry,
    /// Fingerprints of the attempts at this entry, by attempt id.
    pub entry_fingerprints: indexmap::IndexMap<u64, u64>,
    /// Fingerprints of the attempts at this home, by attempt id.
    pub fingerprints: indexmap::IndexMap<u64, u64>,
    pub home: claims::Home,
    pub identity: claims::VmIdentity,
    /// Claimed keys that have not run, which `Mutant::LateGrantRuns` may run
    /// late.
    pub pending_claims: indexmap::IndexMap<claims::ClaimKey, u64>,
    pub leaving: bool,
    /// Entry VM and entry attempt of each attempt at this home that was
    /// forwarded.
    pub origins: indexmap::IndexMap<u64, (usize, u64)>,
    pub paused: bool,
    pub runs: Vec<claims::ClaimKey>,
    pub witness: claims::Witness,
}

impl Vm {
    pub fn new(config: &configs::claims::ClaimsConfig, index: usize, incarnation: u64) -> Self {
        let port = 7_000 + u16::try_from(index).expect("a small fleet");
        let identity = claims::VmIdentity {
            incarnation,
            peer_address: net::SocketAddr::from(([10, 0, 0, 1], port)),
        };
        Self {
            pending_claims: indexmap::IndexMap::new(),
            entry: claims::Entry::new(config),
            entry_fingerprints: indexmap::IndexMap::new(),
            fingerprints: indexmap::IndexMap::new(),
            home: claims::Home::new(config, identity),
            identity,
            leaving: false,
            origins: indexmap::IndexMap::new(),
            paused: false,
            runs: Vec::new(),
            witness: claims::Witness::new(config, identity),
        }
    }
}
