//! Estimate of the fleet's token bucket of one organisation.

use std::collections;

use crate::admission::allowance_bounds;
use crate::admission::allowance_refusal;
use crate::admission::peer_reports;
use crate::admission::token_bucket;
use crate::ports;

/// Millionths of a request per request.
const MICRO: u64 = 1_000_000;
/// Time after which a report has arrived at the other VMs, in milliseconds: 30 ms
/// between regions, and the delay of a busy VM.
const REPORT_DELAY_MS: u64 = 80;
/// A VM that was heard from this long after a report was sent was reachable then, in
/// milliseconds.
const REACHED_AFTER_MS: u64 = 40;
/// Portion from which on requests do not wait for it, in requests: a larger one is
/// exceeded only by many requests at once.
const MAX_WAIT_PORTION: u64 = 4;
/// Time after a refusal in which further requests are refused at once instead of waiting,
/// in milliseconds: the organisation sends more than its allowance.
const REFUSING_MS: u64 = 1_000;
/// Interval between returning callers if the rate is unknown, in milliseconds.
const MAX_SPACING_MS: u64 = 5_000;

/// Estimate of the fleet's token bucket of one organisation, on one VM.
#[derive(Clone, Debug)]
pub(crate) struct OrganisationAllowance {
    bucket: token_bucket::TokenBucket,
    /// Whether a request waits until the others know of those before.
    has_waiting: bool,
    /// Last time at which a request was admitted, refused or reported.
    last_used_ms: u64,
    /// Until when requests do not wait, since one was refused.
    no_wait_until_ms: u64,
    /// Time at which the next refused caller is asked to return.
    next_return_ms: u64,
    /// Highest levels of the current and the last second.
    peaks_micro: [i64; 2],
    peak_since_ms: u64,
    /// Reported requests that some VMs may not know of: time of the report and count.
    reported: collections::VecDeque<(u64, u32)>,
    refilled_us: u64,
    silenced_micro: u64,
    unreported_count: u32,
}

/// What an organisation may use, at this moment.
struct Room {
    level_micro: i64,
    outstanding_micro: i64,
    portion_micro: i64,
    /// Whether this VM may have one request outstanding whatever its portion is.
    has_spare: bool,
}

impl Room {
    const fn admits(&self) -> bool {
        let needed_micro = self.outstanding_micro + MICRO.cast_signed();
        // Half a request more, since a part of a request remains outstanding while
        // single VMs have not been heard from.
        let spare_micro = MICRO.cast_signed() * 3 / 2;
        needed_micro <= self.portion_micro || (self.has_spare && needed_micro <= spare_micro)
    }

    /// Returns whether a request can be admitted as soon as the other VMs know of the
    /// requests that are outstanding.
    const fn may_wait(&self) -> bool {
        self.has_spare && self.portion_micro < (MAX_WAIT_PORTION * MICRO).cast_signed()
    }
}

impl OrganisationAllowance {
    /// Creates the estimate of an organisation without recent requests.
    ///
    /// The bucket is empty at the start of the VM and refilled since. The shares of VMs
    /// that have returned lately count as used.
    pub(crate) fn new(
        now_ms: u64,
        peers: &peer_reports::PeerReports,
        bounds: &allowance_bounds::AllowanceBounds,
        allowance: &ports::Allowance,
    ) -> Self {
        let size_micro = allowance_bounds::AllowanceBounds::size_micro(allowance);
        let since_ms = now_ms.saturating_sub(2 * bounds.window_ms);
        let returned_micro = peers.returned_micro(now_ms, since_ms);
        let mut bucket = token_bucket::TokenBucket::with_used(size_micro);
        bucket.refill(refill_micro(peers.refill_us(), allowance));
        let returned_micro = share_of(bucket.level(size_micro), returned_micro);
        bucket.take(returned_micro.cast_unsigned());
        Self {
            bucket,
            has_waiting: false,
            last_used_ms: now_ms,
            next_return_ms: 0,
            no_wait_until_ms: 0,
            peaks_micro: [0; 2],
            peak_since_ms: now_ms,
            reported: collections::VecDeque::new(),
            refilled_us: peers.refill_us(),
            silenced_micro: peers.silenced_micro(),
            unreported_count: 0,
        }
    }

    /// Admits a request if the allowance permits it.
    pub(crate) fn try_admit(
        &mut self,
        now_ms: u64,
        peers: &peer_reports::PeerReports,
        bounds: &allowance_bounds::AllowanceBounds,
        allowance: &ports::Allowance,
    ) -> Result<(), allowance_refusal::AllowanceRefusal> {
        self.update(now_ms, peers, allowance);
        self.last_used_ms = now_ms;
        let room = self.room(now_ms, peers, bounds, allowance);
        let may_wait = room.may_wait() && now_ms >= self.no_wait_until_ms;
        self.has_waiting |= !room.admits() && may_wait;
        if room.admits() {
            self.bucket.take(MICRO);
            self.unreported_count += 1;
            return Ok(());
        }
        if !may_wait {
            self.stop_waiting(now_ms);
        }
        Err(allowance_refusal::AllowanceRefusal {
            heard_count: peers.heard_count(),
            known_count: peers.known_count(now_ms),
            level_micro: room.level_micro,
            may_wait,
            portion_micro: room.portion_micro,
            retry_after_ms: self.retry_after_ms(now_ms, peers, allowance, &room),
        })
    }

    /// Records that a request was refused, so that further ones do not wait.
    pub(crate) const fn stop_waiting(&mut self, now_ms: u64) {
        self.no_wait_until_ms = now_ms + REFUSING_MS;
    }

    /// Takes an admission back that no other VM knows of. Returns whether it was one.
    pub(crate) fn take_back(&mut self) -> bool {
        if self.unreported_count == 0 {
            return false;
        }
        self.unreported_count -= 1;
        self.bucket.refill(MICRO);
        true
    }

    /// Counts requests that another VM has admitted.
    pub(crate) fn record_others(
        &mut self,
        now_ms: u64,
        peers: &peer_reports::PeerReports,
        allowance: &ports::Allowance,
        count: u32,
    ) {
        self.update(now_ms, peers, allowance);
        self.last_used_ms = now_ms;
        self.bucket.take(u64::from(count) * MICRO);
    }

    /// Returns whether so much of the portion is unreported that the report is urgent.
    pub(crate) fn is_report_urgent(
        &self,
        now_ms: u64,
        peers: &peer_reports::PeerReports,
        bounds: &allowance_bounds::AllowanceBounds,
        allowance: &ports::Allowance,
    ) -> bool {
        let unreported_micro = u64::from(self.unreported_count) * MICRO;
        let room = self.room(now_ms, peers, bounds, allowance);
        let is_half_used = unreported_micro.cast_signed() * 2 >= room.portion_micro;
        let is_small = room.portion_micro < (MAX_WAIT_PORTION * MICRO).cast_signed();
        // Where portions are small, only requests that wait make a report urgent: each
        // request would cause one otherwise.
        let is_urgent = if is_small {
            self.has_waiting
        } else {
            is_half_used
        };
        self.unreported_count > 0 && is_urgent
    }

    /// Returns the number of admissions since the last report, which is sent now.
    pub(crate) fn take_unreported(&mut self, now_ms: u64) -> u32 {
        self.has_waiting = false;
        let count = std::mem::take(&mut self.unreported_count);
        if count > 0 {
            self.reported.push_back((now_ms, count));
        }
        count
    }

    /// Returns whether this estimate equals that of an organisation without recent
    /// requests, so that forgetting it changes no decision.
    pub(crate) fn is_idle(
        &mut self,
        now_ms: u64,
        peers: &peer_reports::PeerReports,
        bounds: &allowance_bounds::AllowanceBounds,
        allowance: &ports::Allowance,
    ) -> bool {
        let is_recent = now_ms < self.last_used_ms + 2 * bounds.window_ms;
        if is_recent || self.unreported_count > 0 {
            return false;
        }
        self.update(now_ms, peers, allowance);
        let size_micro = allowance_bounds::AllowanceBounds::size_micro(allowance);
        let size_micro = size_micro.cast_signed();
        let reserved_micro = share_of(size_micro, peers.silent_micro(now_ms));
        let reserved_micro = reserved_micro.min(size_micro - MICRO.cast_signed());
        self.bucket.level(size_micro.cast_unsigned()) >= size_micro - reserved_micro
    }

    /// Refills the bucket, and takes the shares of VMs that have fallen silent.
    fn update(
        &mut self,
        now_ms: u64,
        peers: &peer_reports::PeerReports,
        allowance: &ports::Allowance,
    ) {
        let size_micro = allowance_bounds::AllowanceBounds::size_micro(allowance);
        let elapsed_us = peers.refill_us().saturating_sub(self.refilled_us);
        let refilled_micro = refill_micro(elapsed_us, allowance);
        if refilled_micro > 0 {
            self.refilled_us = peers.refill_us();
            self.bucket.refill(refilled_micro);
        }
        // At least one request is left: a small share of a small burst would admit nothing.
        let reserved_micro = share_of(size_micro.cast_signed(), peers.silent_micro(now_ms));
        let reserved_micro = reserved_micro.cast_unsigned().min(size_micro - MICRO);
        self.bucket.reserve(reserved_micro);
        if now_ms >= self.peak_since_ms + peer_reports::SILENCE_MS {
            self.peaks_micro = [i64::MIN, self.peaks_micro[0]];
            self.peak_since_ms = now_ms;
        }
        let level_micro = self.bucket.level(size_micro);
        self.peaks_micro[0] = self.peaks_micro[0].max(level_micro);
        // A VM that has fallen silent may use its share of what was there when it was
        // last heard from.
        let silenced_micro = peers.silenced_micro() - self.silenced_micro;
        self.silenced_micro = peers.silenced_micro();
        let peak_micro = self.peaks_micro[0].max(self.peaks_micro[1]).max(0);
        let share_micro = share_of(peak_micro, silenced_micro.min(MICRO));
        self.bucket.take(share_micro.cast_unsigned());
        while let Some((reported_ms, _)) = self.reported.front()
            && now_ms >= reported_ms + peer_reports::SILENCE_MS
        {
            self.reported.pop_front();
        }
    }

    fn room(
        &self,
        now_ms: u64,
        peers: &peer_reports::PeerReports,
        bounds: &allowance_bounds::AllowanceBounds,
        allowance: &ports::Allowance,
    ) -> Room {
        let size_micro = allowance_bounds::AllowanceBounds::size_micro(allowance);
        let level_micro = self.bucket.level(size_micro);
        let outstanding_micro = self.outstanding_micro(now_ms, peers);
        let heard_micro = MICRO - peers.silent_micro(now_ms);
        let tolerance_micro = bounds.tolerance_micro(allowance).cast_signed();
        let tolerance_micro = share_of(tolerance_micro, heard_micro);
        let count = i64::try_from(peers.known_count(now_ms)).unwrap_or(i64::MAX);
        let free_micro = level_micro + outstanding_micro;
        let request_micro = MICRO.cast_signed();
        // What is left of the tolerance covers lost reports, and admissions of VMs that
        // have reported before others did.
        let usable_micro = if level_micro >= request_micro {
            tolerance_micro / 10 * 9
        } else {
            tolerance_micro / 4 * 3
        };
        let portion_micro = (free_micro + usable_micro) / count;
        // One request at each VM exceeds the level by their number at most. The rest of
        // the tolerance covers the delay with which the refill is counted.
        let slack_micro = (tolerance_micro - (count - 1) * request_micro) / 2;
        let has_spare = level_micro >= request_micro - slack_micro.max(0);
        Room {
            level_micro,
            outstanding_micro,
            portion_micro,
            has_spare,
        }
    }

    /// Returns the requests that this VM has admitted and the others may not know of.
    ///
    /// A report counts as received by a VM that was heard from since: a VM that is cut
    /// off from this one has not received it.
    fn outstanding_micro(&self, now_ms: u64, peers: &peer_reports::PeerReports) -> i64 {
        let mut outstanding_micro = u64::from(self.unreported_count) * MICRO;
        for (reported_ms, count) in &self.reported {
            let unknown_micro = if now_ms < reported_ms + REPORT_DELAY_MS {
                MICRO
            } else {
                peers.unheard_micro(now_ms, reported_ms + REACHED_AFTER_MS)
            };
            outstanding_micro += u64::from(*count) * unknown_micro;
        }
        outstanding_micro.cast_signed()
    }

    /// Returns the time after which a refused caller returns, in milliseconds. Callers
    /// are spread at this VM's share of the rate.
    fn retry_after_ms(
        &mut self,
        now_ms: u64,
        peers: &peer_reports::PeerReports,
        allowance: &ports::Allowance,
        room: &Room,
    ) -> u64 {
        let rate = allowance.rate_milli_per_s.max(1);
        let missing_micro = (MICRO.cast_signed() - room.level_micro)
            .max(0)
            .cast_unsigned();
        let heard_micro = (MICRO - peers.silent_micro(now_ms)).max(1);
        let refill_ms = missing_micro / rate * MICRO / heard_micro;
        let base_ms = refill_ms.max(REPORT_DELAY_MS);
        let spacing_ms = MICRO * peers.known_count(now_ms) as u64 / rate;
        let spacing_ms = spacing_ms.clamp(1, MAX_SPACING_MS);
        let earliest_ms = now_ms + base_ms;
        let return_ms = self.next_return_ms.max(earliest_ms);
        // Callers that return later than this have given up.
        let return_ms = return_ms.min(earliest_ms + MAX_SPACING_MS);
        self.next_return_ms = return_ms + spacing_ms;
        return_ms - now_ms
    }
}

/// Returns the refill in a time, in millionths of a request.
const fn refill_micro(elapsed_us: u64, allowance: &ports::Allowance) -> u64 {
    // A rate of 1/1000 request per second is 1/1000 of a millionth per microsecond.
    elapsed_us.saturating_mul(allowance.rate_milli_per_s) / 1_000
}

/// Returns the given share, in millionths, of an amount.
fn share_of(amount: i64, share_micro: u64) -> i64 {
    let share = i128::from(amount) * i128::from(share_micro) / i128::from(MICRO);
    i64::try_from(share).unwrap_or(i64::MAX)
}
