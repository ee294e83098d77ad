//! Proof that the caller of a relayed request belongs to an organisation.

use std::fmt;
use std::str;

use crate::ports;

/// Proof that the caller of a relayed request belongs to an organisation, in a header:
/// the organisation's name, a space and the proof in hexadecimal.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OrganisationProof {
    /// Name of the organisation.
    pub name: String,
    /// Proof of one of its keys for the request, by
    /// [`OrganisationIndex::relay_proof`](crate::gateway::OrganisationIndex::relay_proof).
    pub proof: ports::KeyDigest,
}

impl fmt::Display for OrganisationProof {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} {}", self.name, self.proof.to_hex())
    }
}

impl str::FromStr for OrganisationProof {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (name, proof) = text.split_once(' ').ok_or("expected a name and a proof")?;
        let proof = ports::KeyDigest::from_hex(proof).ok_or("expected 64 hexadecimal digits")?;
        Ok(Self {
            name: name.to_owned(),
            proof,
        })
    }
}
