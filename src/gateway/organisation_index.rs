//! Lookup of organisations by key and by name.

use std::sync;

use crate::gateway;
use crate::ports;

/// Index of a configuration's organisations by key digest and by name.
///
/// Holds positions in sorted vectors rather than copies in maps: a configuration may
/// name several hundred thousand organisations.
#[derive(Clone, Debug)]
pub struct OrganisationIndex {
    by_digest: Vec<(ports::KeyDigest, u32)>,
    by_name: Vec<u32>,
    configuration: sync::Arc<ports::FleetConfiguration>,
    /// Mean rate of the allowances, in thousandths of a request per second.
    mean_rate_milli_per_s: u64,
    /// Secret of the entry VMs, of all keys of the configuration. Without it, a caller
    /// could make the proof of a relay from its own key, and its requests would not
    /// count towards the allowance. With a single key it is no secret.
    relay_secret: ports::KeyDigest,
}

impl OrganisationIndex {
    /// Builds the index of a configuration's organisations.
    #[must_use]
    pub fn build(configuration: sync::Arc<ports::FleetConfiguration>) -> Self {
        let organisations = &configuration.organisations;
        let mut by_digest = Vec::new();
        let mut by_name = Vec::with_capacity(organisations.len());
        for (position, organisation) in (0..).zip(organisations) {
            let digests = organisation.key_digests.iter();
            by_digest.extend(digests.map(|digest| (*digest, position)));
            by_name.push(position);
        }
        let allowances = organisations.iter().filter_map(|known| known.allowance);
        let rates = allowances.map(|allowance| u128::from(allowance.rate_milli_per_s));
        let (count, sum) = rates.fold((0, 0), |(count, sum), rate| (count + 1, sum + rate));
        let mean_rate = u64::try_from(sum / u128::max(count, 1)).unwrap_or(u64::MAX);
        let relay_secret = ports::KeyDigest::combined(by_digest.iter().map(|(digest, _)| digest));
        by_digest.sort_unstable();
        by_name.sort_unstable_by_key(|position| &organisations[*position as usize].name);
        Self {
            by_digest,
            by_name,
            configuration,
            mean_rate_milli_per_s: mean_rate,
            relay_secret,
        }
    }

    /// Returns the share of a service's slots that an organisation gets, relative to the
    /// others: the rate of its allowance.
    ///
    /// Organisations without an allowance, and requests without an organisation, weigh as
    /// much as the average organisation with one, and all the same if there is none.
    #[must_use]
    pub fn weight(&self, organisation: Option<&ports::Organisation>) -> u64 {
        let allowance = organisation.and_then(|organisation| organisation.allowance);
        let rate = allowance.map(|allowance| allowance.rate_milli_per_s);
        rate.unwrap_or(self.mean_rate_milli_per_s).max(1)
    }

    /// Returns the proof by which another VM recognises the organisation of a key in a
    /// relayed request.
    #[must_use]
    pub fn relay_proof(&self, key: &ports::KeyDigest, request_id: &str) -> ports::KeyDigest {
        key.proof(&self.relay_secret, request_id)
    }

    /// Returns whether the configuration names no organisation, so that requests need
    /// no key.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// Returns the organisation that a key belongs to.
    #[must_use]
    pub fn find_by_digest(&self, digest: &ports::KeyDigest) -> Option<&ports::Organisation> {
        let found = self
            .by_digest
            .binary_search_by_key(digest, |(known, _)| *known);
        self.organisation(self.by_digest[found.ok()?].1)
    }

    /// Returns the organisation of this name.
    #[must_use]
    pub fn find_by_name(&self, name: &str) -> Option<&ports::Organisation> {
        let found = self.by_name.binary_search_by(|position| {
            let organisation = self.organisation(*position);
            organisation.map_or("", |known| &known.name).cmp(name)
        });
        self.organisation(self.by_name[found.ok()?])
    }

    /// Returns the digest of the key with which another VM made this proof for a
    /// request.
    #[must_use]
    pub fn find_by_proof(
        &self,
        proof: &gateway::OrganisationProof,
        request_id: &str,
    ) -> Option<ports::KeyDigest> {
        let organisation = self.find_by_name(&proof.name)?;
        let mut digests = organisation.key_digests.iter();
        let digest = digests.find(|digest| self.relay_proof(digest, request_id) == proof.proof);
        digest.copied()
    }

    fn organisation(&self, position: u32) -> Option<&ports::Organisation> {
        self.configuration.organisations.get(position as usize)
    }
}
