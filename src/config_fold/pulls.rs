//! Which peer to pull records from, and when.

use rand::Rng as _;
use rand::seq::IteratorRandom as _;

use crate::config_fold;
use crate::config_fold::backoff;
use crate::configs;

/// Peers whose claims are noted.
const CLAIM_LIMIT_COUNT: usize = 16_384;

/// Pulls under way, and what peers claim to have.
#[derive(Clone, Debug)]
pub struct Pulls {
    backoff: backoff::Backoff,
    /// Next offsets by peer, as claimed; a claim that a pull does not bear out
    /// is dropped.
    claims: indexmap::IndexMap<String, u64>,
    /// When to pull from another region, if only peers there are ahead.
    far_not_before_ms: Option<u64>,
    far_wait_ms: u64,
    not_before_ms: u64,
    /// Start times by peer.
    under_way: indexmap::IndexMap<String, u64>,
    timeout_ms: u64,
}

impl Pulls {
    /// Gives no pulls.
    pub fn new(config: &configs::SpreadConfig) -> Self {
        Self {
            backoff: backoff::Backoff::new(config.backoff_base_ms, config.pull_backoff_limit_ms),
            claims: indexmap::IndexMap::new(),
            far_not_before_ms: None,
            far_wait_ms: config.far_pull_wait_ms,
            not_before_ms: 0,
            under_way: indexmap::IndexMap::new(),
            timeout_ms: config.pull_timeout_ms,
        }
    }

    /// Notes what `peer` claims. Beyond the limit, new peers are not noted.
    pub fn claim(&mut self, peer: &str, next_offset: u64) {
        if self.claims.len() < CLAIM_LIMIT_COUNT || self.claims.contains_key(peer) {
            self.claims.insert(peer.to_owned(), next_offset);
        }
    }

    /// Tells whether the wait after the last failure is over.
    pub const fn may_start(&self, now_ms: u64) -> bool {
        now_ms >= self.not_before_ms
    }

    /// Forgets peers that are no members.
    pub fn retain(&mut self, members: &[config_fold::ReplicationMember]) {
        let is_member = |peer: &String| members.iter().any(|member| member.id == *peer);
        self.claims.retain(|peer, _| is_member(peer));
        self.under_way.retain(|peer, _| is_member(peer));
    }

    /// Starts a pull from `peer` whatever it claims.
    pub fn start(&mut self, now_ms: u64, peer: &str) {
        self.under_way.insert(peer.to_owned(), now_ms);
    }

    /// Starts a pull from a peer that claims to be past `next_offset`, if none
    /// is under way and its time has come. Peers outside `near` are asked only
    /// if no near one has got ahead for a while, to spare the link.
    pub fn start_next(
        &mut self,
        now_ms: u64,
        next_offset: u64,
        near: &indexmap::IndexSet<String>,
        random: &mut rand::rngs::SmallRng,
    ) -> Option<String> {
        if !self.under_way.is_empty() || !self.may_start(now_ms) {
            return None;
        }
        let ahead = self
            .claims
            .iter()
            .filter(|(_, claim)| **claim > next_offset);
        let (near_ahead, far_ahead): (Vec<&String>, Vec<&String>) = ahead
            .map(|(peer, _)| peer)
            .partition(|peer| near.contains(*peer));
        let chosen = near_ahead.into_iter().choose(random).cloned();
        let far = far_ahead.into_iter().choose(random).cloned();
        if chosen.is_some() || far.is_none() {
            self.far_not_before_ms = None;
        }
        let peer = match chosen {
            Some(peer) => peer,
            None => far.filter(|_| self.may_pull_far(now_ms, random))?,
        };
        self.start(now_ms, &peer);
        Some(peer)
    }

    fn may_pull_far(&mut self, now_ms: u64, random: &mut rand::rngs::SmallRng) -> bool {
        let wait_ms = self.far_wait_ms;
        // The first VM by chance pulls, and the others then pull from it.
        let not_before_ms = *self
            .far_not_before_ms
            .get_or_insert_with(|| now_ms + random.random_range(wait_ms..=2 * wait_ms));
        now_ms >= not_before_ms
    }

    /// Notes a batch that took the fold to `next_offset`, if it `advanced` it.
    pub fn answered(
        &mut self,
        now_ms: u64,
        peer: &str,
        claim: u64,
        advanced: bool,
        random: &mut rand::rngs::SmallRng,
    ) {
        self.under_way.shift_remove(peer);
        if advanced {
            self.backoff.reset();
            self.not_before_ms = now_ms;
            self.claim(peer, claim);
        } else {
            self.claims.shift_remove(peer);
            self.not_before_ms = now_ms + self.backoff.next_ms(random);
        }
    }

    /// Notes a failed pull. Another peer is tried after a wait. The claim goes too: the peer shows it again when
    /// it is heard of.
    pub fn failed(&mut self, now_ms: u64, peer: &str, random: &mut rand::rngs::SmallRng) {
        self.under_way.shift_remove(peer);
        self.claims.shift_remove(peer);
        self.not_before_ms = now_ms + self.backoff.next_ms(random);
    }

    /// Gives the peers whose answers are overdue.
    pub fn overdue(&self, now_ms: u64) -> Vec<String> {
        self.under_way
            .iter()
            .filter(|(_, sent_ms)| now_ms >= **sent_ms + self.timeout_ms)
            .map(|(peer, _)| peer.clone())
            .collect()
    }
}
