//! Which peer to pull records from, and when.

use rand::Rng as _;
use rand::seq::IteratorRandom as _;

use crate::config_fold;
use crate::config_fold::backoff;
use crate::configs;

/// Peers whose claims are noted.
const PEER_OFFSET_LIMIT_COUNT: usize = 16_384;

/// Pulls under way, and what peers claim to have.
#[derive(Clone, Debug)]
pub struct PullScheduler {
    backoff: backoff::Backoff,
    /// Next offsets by peer, as claimed; a claim that a pull does not bear out
    /// is dropped.
    peer_offsets: indexmap::IndexMap<String, u64>,
    /// When to pull from another region, if only peers there are ahead.
    other_region_not_before_ms: Option<u64>,
    other_region_wait_ms: u64,
    not_before_ms: u64,
    /// Start times by peer.
    in_flight: indexmap::IndexMap<String, u64>,
    timeout_ms: u64,
}

impl PullScheduler {
    /// Gives no pulls.
    pub fn new(config: &configs::SpreadConfig) -> Self {
        Self {
            backoff: backoff::Backoff::new(config.backoff_base_ms, config.pull_backoff_limit_ms),
            peer_offsets: indexmap::IndexMap::new(),
            other_region_not_before_ms: None,
            other_region_wait_ms: config.far_pull_wait_ms,
            not_before_ms: 0,
            in_flight: indexmap::IndexMap::new(),
            timeout_ms: config.pull_timeout_ms,
        }
    }

    /// Notes what `peer` claims. Beyond the limit, new peers are not noted.
    pub fn record_offset(&mut self, peer: &str, next_offset: u64) {
        if self.peer_offsets.len() < PEER_OFFSET_LIMIT_COUNT || self.peer_offsets.contains_key(peer)
        {
            self.peer_offsets.insert(peer.to_owned(), next_offset);
        }
    }

    /// Tells whether the wait after the last failure is over.
    pub const fn is_backoff_over(&self, now_ms: u64) -> bool {
        now_ms >= self.not_before_ms
    }

    /// Forgets peers that are no members.
    pub fn retain_members(&mut self, members: &[config_fold::ReplicationMember]) {
        let is_member = |peer: &String| members.iter().any(|member| member.id == *peer);
        self.peer_offsets.retain(|peer, _| is_member(peer));
        self.in_flight.retain(|peer, _| is_member(peer));
    }

    /// Starts a pull from `peer` whatever it claims.
    pub fn start(&mut self, now_ms: u64, peer: &str) {
        self.in_flight.insert(peer.to_owned(), now_ms);
    }

    /// Starts a pull from a peer that claims to be past `next_offset`, if none
    /// is under way and its time has come. Peers outside `near` are asked only
    /// if no near one has got ahead for a while, to spare the link.
    pub fn start_next(
        &mut self,
        now_ms: u64,
        next_offset: u64,
        same_region_peers: &indexmap::IndexSet<String>,
        random: &mut rand::rngs::SmallRng,
    ) -> Option<String> {
        if !self.in_flight.is_empty() || !self.is_backoff_over(now_ms) {
            return None;
        }
        let ahead = self
            .peer_offsets
            .iter()
            .filter(|(_, peer_next_offset)| **peer_next_offset > next_offset);
        let (same_region_ahead, other_region_ahead): (Vec<&String>, Vec<&String>) = ahead
            .map(|(peer, _)| peer)
            .partition(|peer| same_region_peers.contains(*peer));
        let same_region_peer = same_region_ahead.into_iter().choose(random).cloned();
        let other_region_peer = other_region_ahead.into_iter().choose(random).cloned();
        if same_region_peer.is_some() || other_region_peer.is_none() {
            self.other_region_not_before_ms = None;
        }
        let peer = match same_region_peer {
            Some(peer) => peer,
            None => {
                other_region_peer.filter(|_| self.may_pull_from_other_region(now_ms, random))?
            }
        };
        self.start(now_ms, &peer);
        Some(peer)
    }

    fn may_pull_from_other_region(
        &mut self,
        now_ms: u64,
        random: &mut rand::rngs::SmallRng,
    ) -> bool {
        let wait_ms = self.other_region_wait_ms;
        // The first VM by chance pulls, and the others then pull from it.
        let not_before_ms = *self
            .other_region_not_before_ms
            .get_or_insert_with(|| now_ms + random.random_range(wait_ms..=2 * wait_ms));
        now_ms >= not_before_ms
    }

    /// Notes a batch that took the fold to `next_offset`, if it `advanced` it.
    pub fn record_response(
        &mut self,
        now_ms: u64,
        peer: &str,
        peer_next_offset: u64,
        advanced: bool,
        random: &mut rand::rngs::SmallRng,
    ) {
        self.in_flight.shift_remove(peer);
        if advanced {
            self.backoff.reset();
            self.not_before_ms = now_ms;
            self.record_offset(peer, peer_next_offset);
        } else {
            self.peer_offsets.shift_remove(peer);
            self.not_before_ms = now_ms + self.backoff.next_ms(random);
        }
    }

    /// Notes a failed pull. Another peer is tried after a wait. The claim goes too: the peer shows it again when
    /// it is heard of.
    pub fn record_failure(&mut self, now_ms: u64, peer: &str, random: &mut rand::rngs::SmallRng) {
        self.in_flight.shift_remove(peer);
        self.peer_offsets.shift_remove(peer);
        self.not_before_ms = now_ms + self.backoff.next_ms(random);
    }

    /// Gives the peers whose answers are overdue.
    pub fn timed_out_peers(&self, now_ms: u64) -> Vec<String> {
        self.in_flight
            .iter()
            .filter(|(_, sent_ms)| now_ms >= **sent_ms + self.timeout_ms)
            .map(|(peer, _)| peer.clone())
            .collect()
    }
}
