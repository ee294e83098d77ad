//! Schedule of the pulls of records from peers.

use rand::Rng as _;
use rand::seq::IteratorRandom as _;

use crate::config_fold;
use crate::config_fold::backoff;
use crate::configs;

/// Largest number of peers whose offsets are recorded.
const PEER_OFFSET_LIMIT_COUNT: usize = 16_384;

/// Schedule of the pulls of records from peers, based on the offsets that the
/// peers have sent.
#[derive(Clone, Debug)]
pub struct PullScheduler {
    backoff: backoff::Backoff,
    /// Next offset that each peer sent most recently. If a pull from a peer does not
    /// advance the state, the peer's entry is removed, because its offset may be
    /// wrong.
    peer_offsets: indexmap::IndexMap<String, u64>,
    /// Time from which to pull from another region, set while only peers of other
    /// regions are ahead.
    other_region_not_before_ms: Option<u64>,
    other_region_wait_ms: u64,
    not_before_ms: u64,
    /// Start time of the pull in flight from each peer.
    in_flight: indexmap::IndexMap<String, u64>,
    timeout_ms: u64,
}

impl PullScheduler {
    /// Creates a schedule without any pulls or known offsets.
    pub fn new(config: &configs::ReplicationConfig) -> Self {
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

    /// Records the next offset of `peer`. Once the limit is reached, offsets of
    /// further peers are ignored.
    pub fn record_offset(&mut self, peer: &str, next_offset: u64) {
        if self.peer_offsets.len() < PEER_OFFSET_LIMIT_COUNT || self.peer_offsets.contains_key(peer)
        {
            self.peer_offsets.insert(peer.to_owned(), next_offset);
        }
    }

    /// Returns whether the backoff after the last failure is over.
    pub const fn is_backoff_over(&self, now_ms: u64) -> bool {
        now_ms >= self.not_before_ms
    }

    /// Removes the peers that are not in `members`.
    pub fn retain_members(&mut self, members: &[config_fold::ReplicationMember]) {
        let is_member = |peer: &String| members.iter().any(|member| member.id == *peer);
        self.peer_offsets.retain(|peer, _| is_member(peer));
        self.in_flight.retain(|peer, _| is_member(peer));
    }

    /// Records the start of a pull from `peer`, whether or not its offset is known.
    pub fn start(&mut self, now_ms: u64, peer: &str) {
        self.in_flight.insert(peer.to_owned(), now_ms);
    }

    /// Starts a pull from a random peer that has sent an offset beyond
    /// `next_offset`, and returns its id. Returns `None` while a pull is in flight
    /// or the backoff is not over.
    ///
    /// A peer of another region is chosen only if no peer in `same_region_peers`
    /// has been ahead for one to two times the configured wait, to save traffic on
    /// the link between regions.
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
        // The wait is random, so that one VM of the region pulls first and the
        // other VMs of the region then pull from it.
        let not_before_ms = *self
            .other_region_not_before_ms
            .get_or_insert_with(|| now_ms + random.random_range(wait_ms..=2 * wait_ms));
        now_ms >= not_before_ms
    }

    /// Records a batch from `peer`, whose next offset is `peer_next_offset`.
    ///
    /// If the batch has `advanced` the state, the next pull may start immediately.
    /// Otherwise the offset of the peer is removed and the next pull waits for the
    /// backoff, so that a wrong offset causes only one pull.
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

    /// Records a failed pull from `peer`. The next pull waits for the backoff. The
    /// offset of the peer is removed too, so that another peer is tried; it is
    /// recorded again with the next message from the peer.
    pub fn record_failure(&mut self, now_ms: u64, peer: &str, random: &mut rand::rngs::SmallRng) {
        self.in_flight.shift_remove(peer);
        self.peer_offsets.shift_remove(peer);
        self.not_before_ms = now_ms + self.backoff.next_ms(random);
    }

    /// Returns the peers whose pulls have timed out.
    pub fn timed_out_peers(&self, now_ms: u64) -> Vec<String> {
        self.in_flight
            .iter()
            .filter(|(_, sent_ms)| now_ms >= **sent_ms + self.timeout_ms)
            .map(|(peer, _)| peer.clone())
            .collect()
    }
}
