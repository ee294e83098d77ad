//! Allowances of organisations over all entry VMs together.

use std::net;

use crate::admission::allowance_bounds;
use crate::admission::allowance_refusal;
use crate::admission::organisation_allowance;
use crate::admission::peer_reports;
use crate::admission::usage_report;
use crate::ports;

/// Interval between two reports if requests were admitted, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 200;
/// Interval between two reports if no requests were admitted, in milliseconds.
const EMPTY_REPORT_INTERVAL_MS: u64 = 300;
/// Least time between two reports, in milliseconds.
const URGENT_REPORT_INTERVAL_MS: u64 = 25;
/// Number of entries checked for removal per report.
const EVICTION_CHECK_COUNT: usize = 8;

/// The entry VMs that serve callers, as this VM knows them.
#[derive(Clone, Copy, Debug)]
pub struct ServingVms<'a> {
    /// Other VMs that are alive, or have announced that they leave, and do not serve
    /// callers.
    pub idle: &'a indexmap::IndexSet<net::SocketAddr>,
    /// Whether this VM serves callers.
    pub is_serving: bool,
    /// Number of all VMs that are alive, including this one.
    pub member_count: usize,
    /// Other VMs that serve callers.
    pub serving: &'a [net::SocketAddr],
}

/// Allowances of organisations over all entry VMs together, as one VM keeps them.
///
/// Each VM keeps an estimate of one token bucket for each organisation, reduced by its
/// own admissions and by those that other VMs report. What a VM admits before the
/// others know of it is limited to its portion of the bucket.
#[derive(Clone, Debug)]
pub struct FleetAllowances {
    /// Bounds on the allowances as they are kept here, which include a part of the
    /// contract's overshoot.
    bounds: allowance_bounds::AllowanceBounds,
    /// Bounds of the contract.
    contract: allowance_bounds::AllowanceBounds,
    eviction_index: usize,
    is_serving: bool,
    /// Allowances by the hash of the organisation's name, in the order of the hashes. A
    /// configuration may name several hundred thousand organisations.
    allowances: Vec<(u64, ports::Allowance)>,
    last_report_ms: u64,
    organisations: indexmap::IndexMap<u64, organisation_allowance::OrganisationAllowance>,
    peers: peer_reports::PeerReports,
    sequence: u32,
    unreported: indexmap::IndexSet<u64>,
}

impl FleetAllowances {
    /// Creates the allowances of a VM without a configuration.
    ///
    /// `first_sequence` is random, so that the reports of a VM that has restarted are
    /// told from those before. It has 16 bits: small numbers make short reports.
    #[must_use]
    pub fn new(bounds: allowance_bounds::AllowanceBounds, first_sequence: u16) -> Self {
        Self {
            bounds: bounds.without_headroom(),
            contract: bounds,
            eviction_index: 0,
            is_serving: true,
            allowances: Vec::new(),
            last_report_ms: 0,
            organisations: indexmap::IndexMap::new(),
            peers: peer_reports::PeerReports::new(0),
            sequence: u32::from(first_sequence),
            unreported: indexmap::IndexSet::new(),
        }
    }

    /// Returns whether the configuration limits any organisation. Otherwise there is
    /// no state and nothing is sent.
    #[must_use]
    pub fn is_active(&self) -> bool {
        !self.allowances.is_empty()
    }

    /// Returns the number of organisations with an estimate.
    #[must_use]
    pub fn organisation_count(&self) -> usize {
        self.organisations.len()
    }

    /// Sets the allowances of a configuration that comes into force.
    pub fn set_allowances<'a>(
        &mut self,
        now_ms: u64,
        allowances: impl IntoIterator<Item = (&'a str, ports::Allowance)>,
    ) {
        let was_active = self.is_active();
        let allowances = allowances.into_iter();
        let contract = self.contract;
        let allowances = allowances.map(|(name, allowance)| {
            let hash = usage_report::UsageReport::hash(name);
            (hash, contract.with_headroom(allowance))
        });
        self.allowances = allowances.collect();
        self.allowances.sort_unstable_by_key(|(hash, _)| *hash);
        let known = &self.allowances;
        let is_known = |hash: &u64| find(known, *hash).is_some();
        self.organisations.retain(|hash, _| is_known(hash));
        self.unreported.retain(is_known);
        if self.is_active() && !was_active {
            self.peers = peer_reports::PeerReports::new(now_ms);
            self.last_report_ms = now_ms;
        }
    }

    /// Sets the entry VMs that share the allowances.
    pub fn set_vms(&mut self, now_ms: u64, vms: &ServingVms<'_>) {
        if !self.is_active() {
            return;
        }
        self.is_serving = vms.is_serving;
        // VMs that callers are not sent to do not hear reports; all of them together
        // get no more than the others.
        let min_count = if vms.is_serving { 1 } else { vms.member_count };
        let is_idle = |vm| vms.idle.contains(&vm);
        self.peers.set_vms(now_ms, vms.serving, is_idle, min_count);
    }

    /// Admits a request of the organisation. Organisations without an allowance are
    /// not limited.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the organisation has used up its allowance.
    pub fn try_admit(
        &mut self,
        now_ms: u64,
        organisation: &str,
    ) -> Result<(), allowance_refusal::AllowanceRefusal> {
        let hash = usage_report::UsageReport::hash(organisation);
        let Some(allowance) = find(&self.allowances, hash) else {
            return Ok(());
        };
        self.peers.update(now_ms);
        let estimate = self.organisations.entry(hash).or_insert_with(|| {
            organisation_allowance::OrganisationAllowance::new(
                now_ms,
                &self.peers,
                &self.bounds,
                allowance,
            )
        });
        estimate.try_admit(now_ms, &self.peers, &self.bounds, allowance)?;
        self.unreported.insert(hash);
        Ok(())
    }

    /// Records that a request was refused that had waited for its admission.
    pub fn stop_waiting(&mut self, now_ms: u64, organisation: &str) {
        let hash = usage_report::UsageReport::hash(organisation);
        if let Some(estimate) = self.organisations.get_mut(&hash) {
            estimate.stop_waiting(now_ms);
        }
    }

    /// Takes the admission of a request back that has not reached a server, if no
    /// other VM was told of it.
    pub fn take_back(&mut self, organisation: &str) {
        let hash = usage_report::UsageReport::hash(organisation);
        if let Some(estimate) = self.organisations.get_mut(&hash) {
            estimate.take_back();
        }
    }

    /// Applies the report of another VM.
    pub fn receive(
        &mut self,
        now_ms: u64,
        from: net::SocketAddr,
        report: &usage_report::UsageReport,
    ) {
        if !self.is_active() || !self.peers.record(now_ms, from, report.sequence) {
            return;
        }
        for (prefix, count) in report.usages() {
            let first = self
                .allowances
                .partition_point(|(hash, _)| usage_report::prefix(*hash) < prefix);
            let same = self.allowances[first..].iter();
            let same = same.take_while(|(hash, _)| usage_report::prefix(*hash) == prefix);
            for (hash, allowance) in same {
                let estimate = self.organisations.entry(*hash).or_insert_with(|| {
                    organisation_allowance::OrganisationAllowance::new(
                        now_ms,
                        &self.peers,
                        &self.bounds,
                        allowance,
                    )
                });
                estimate.record_others(now_ms, &self.peers, allowance, count);
            }
        }
    }

    /// Returns the report that is due, after an admission of the organisation: if this
    /// VM has admitted half of its portion since the last one.
    pub fn take_urgent_report(
        &mut self,
        now_ms: u64,
        organisation: &str,
    ) -> Option<usage_report::UsageReport> {
        let hash = usage_report::UsageReport::hash(organisation);
        let allowance = find(&self.allowances, hash)?;
        let estimate = self.organisations.get(&hash)?;
        let is_urgent = now_ms >= self.last_report_ms + URGENT_REPORT_INTERVAL_MS
            && estimate.is_report_urgent(now_ms, &self.peers, &self.bounds, allowance);
        is_urgent.then(|| self.build_report(now_ms))
    }

    /// Returns the report that is due, and forgets organisations without requests.
    pub fn take_report(&mut self, now_ms: u64) -> Option<usage_report::UsageReport> {
        if !self.is_active() {
            return None;
        }
        self.peers.update(now_ms);
        self.forget_idle(now_ms);
        let is_empty = self.unreported.is_empty();
        let interval_ms = if is_empty {
            EMPTY_REPORT_INTERVAL_MS
        } else {
            REPORT_INTERVAL_MS
        };
        let is_due = now_ms >= self.last_report_ms + interval_ms;
        // A VM that serves no callers only reports the requests it has admitted.
        (is_due && (self.is_serving || !is_empty)).then(|| self.build_report(now_ms))
    }

    /// Returns the VMs that reports are sent to.
    #[must_use]
    pub fn receivers(&self) -> Vec<net::SocketAddr> {
        self.peers.receivers().collect()
    }

    fn build_report(&mut self, now_ms: u64) -> usage_report::UsageReport {
        self.last_report_ms = now_ms;
        self.sequence = self.sequence.wrapping_add(1);
        let mut report = usage_report::UsageReport {
            sequence: self.sequence,
            ..usage_report::UsageReport::default()
        };
        for hash in self.unreported.drain(..) {
            if let Some(estimate) = self.organisations.get_mut(&hash) {
                let count = estimate.take_unreported(now_ms);
                report.push(usage_report::prefix(hash), count);
            }
        }
        report
    }

    fn forget_idle(&mut self, now_ms: u64) {
        for _ in 0..EVICTION_CHECK_COUNT {
            if self.eviction_index >= self.organisations.len() {
                self.eviction_index = 0;
            }
            let Some((hash, estimate)) = self.organisations.get_index_mut(self.eviction_index)
            else {
                return;
            };
            let allowance = find(&self.allowances, *hash);
            if allowance.is_none_or(|allowance| {
                estimate.is_idle(now_ms, &self.peers, &self.bounds, allowance)
            }) {
                self.organisations.swap_remove_index(self.eviction_index);
            } else {
                self.eviction_index += 1;
            }
        }
    }
}

/// Returns the allowance of the organisation whose name has this hash.
fn find(allowances: &[(u64, ports::Allowance)], hash: u64) -> Option<&ports::Allowance> {
    let found = allowances.binary_search_by_key(&hash, |(known, _)| *known);
    Some(&allowances[found.ok()?].1)
}
