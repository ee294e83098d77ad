//! Results of a run of the simulated fleet.

use hdrhistogram::Histogram;

use super::scenario;

/// Largest added time that the histogram records, in microseconds.
const MAX_ADDED_US: u64 = 60_000_000;
/// Number of organisations. The first sends half of all requests.
pub const ORGANISATION_COUNT: usize = 10;

/// Results of a run of the simulated fleet.
#[derive(Debug)]
pub struct Tally {
    /// Response times less the run times of the requests, in microseconds.
    pub added_us: Histogram<u64>,
    /// Responses within the deadline, by second.
    pub answered_by_s: Vec<u64>,
    /// Responses within the deadline, by organisation.
    pub answered_by_organisation: [u64; ORGANISATION_COUNT],
    /// First attempts with a response within the deadline, by second of arrival.
    pub first_answered_by_s: Vec<u64>,
    /// First attempts, by second.
    pub first_offered_by_s: Vec<u64>,
    /// Requests that arrived at a server without a free slot.
    pub collisions: u64,
    /// Requests whose server the VM chose because the dispatcher did not respond.
    pub fallbacks: u64,
    /// First attempts.
    pub offered: u64,
    /// First attempts, by organisation.
    pub offered_by_organisation: [u64; ORGANISATION_COUNT],
    /// Refusals.
    pub refused: u64,
    /// Times that a request was sent to a server.
    pub sent: u64,
}

impl Tally {
    /// Creates a tally without requests.
    pub fn new() -> Self {
        Self {
            added_us: Histogram::new_with_max(MAX_ADDED_US, 3).expect("the range is valid"),
            answered_by_s: Vec::new(),
            answered_by_organisation: [0; ORGANISATION_COUNT],
            collisions: 0,
            first_answered_by_s: Vec::new(),
            first_offered_by_s: Vec::new(),
            fallbacks: 0,
            offered: 0,
            offered_by_organisation: [0; ORGANISATION_COUNT],
            refused: 0,
            sent: 0,
        }
    }

    /// Records a response within the deadline.
    pub fn record_response(&mut self, now_us: u64, organisation: usize, added_us: u64) {
        self.added_us.saturating_record(added_us);
        self.answered_by_organisation[organisation] += 1;
        count(&mut self.answered_by_s, now_us);
    }

    /// Records a response to a first attempt that arrived at `arrived_us`.
    pub fn record_first_response(&mut self, arrived_us: u64) {
        count(&mut self.first_answered_by_s, arrived_us);
    }

    /// Records a first attempt.
    pub fn record_offer(&mut self, now_us: u64, organisation: usize) {
        self.offered += 1;
        self.offered_by_organisation[organisation] += 1;
        count(&mut self.first_offered_by_s, now_us);
    }

    /// Returns the number of responses within the deadline.
    pub fn answered(&self) -> u64 {
        self.answered_by_organisation.iter().sum()
    }

    /// Returns the number of responses within the deadline per second, between two
    /// times.
    pub fn answered_per_s(&self, from_s: usize, to_s: usize) -> u64 {
        sum(&self.answered_by_s, from_s, to_s) / (to_s - from_s).max(1) as u64
    }

    /// Returns the share of first attempts between two times that got a response
    /// within the deadline, in permille.
    pub fn first_answered_permille(&self, from_s: usize, to_s: usize) -> u64 {
        let answered = sum(&self.first_answered_by_s, from_s, to_s);
        answered * 1_000 / sum(&self.first_offered_by_s, from_s, to_s).max(1)
    }

    /// Returns, for each organisation, its responses in permille of its max-min fair
    /// share of `capacity_requests`.
    pub fn fair_shares_permille(&self, capacity_requests: u64) -> Vec<u64> {
        let fair = max_min_fair(&self.offered_by_organisation, capacity_requests);
        let answered = self.answered_by_organisation.iter();
        let shares = answered.zip(fair);
        let shares = shares.map(|(&answered, fair)| answered * 1_000 / fair.max(1));
        shares.collect()
    }

    /// Returns Jain's fairness index of the values of
    /// [`Self::fair_shares_permille`], in permille; 1000 is perfectly fair.
    pub fn fairness_permille(&self, capacity_requests: u64) -> u64 {
        let shares = self.fair_shares_permille(capacity_requests);
        let sum: u64 = shares.iter().sum();
        let squares: u64 = shares.iter().map(|share| share * share).sum();
        sum * sum * 1_000 / (shares.len() as u64 * squares).max(1)
    }
}

fn count(by_s: &mut Vec<u64>, at_us: u64) {
    let second = usize::try_from(at_us / 1_000_000).unwrap_or(0);
    if by_s.len() <= second {
        by_s.resize(second + 1, 0);
    }
    by_s[second] += 1;
}

fn sum(by_s: &[u64], from_s: usize, to_s: usize) -> u64 {
    by_s.iter().take(to_s).skip(from_s).sum()
}

/// Returns the max-min fair shares of `capacity`: no organisation gets more than
/// it offered, and none gets less than another unless it offered less.
fn max_min_fair(offered: &[u64], capacity: u64) -> Vec<u64> {
    let mut order: Vec<usize> = (0..offered.len()).collect();
    order.sort_by_key(|&index| offered[index]);
    let mut fair = vec![0; offered.len()];
    let mut left = capacity;
    for (done, &index) in order.iter().enumerate() {
        let others = (offered.len() - done) as u64;
        fair[index] = offered[index].min(left / others);
        left -= fair[index];
    }
    fair
}

/// Returns the capacity of all servers over the whole run, in requests.
pub fn capacity_requests(scenario: &scenario::Scenario) -> u64 {
    scenario.capacity_per_s() * scenario.end_us() / 1_000_000
}
