//! Memory and time that one number of servers, organisations or VMs takes.

use std::collections::hash_map;
use std::fs;
use std::hint;
use std::time;

use foxtailwinch::admission;
use foxtailwinch::balancing;
use foxtailwinch::bundle;
use foxtailwinch::config_fold;
use foxtailwinch::configs;
use foxtailwinch::health;
use foxtailwinch::routing;
use foxtailwinch::state_machine::StateMachine as _;

use crate::measure;
use crate::measure::bundle_text;

/// Number of outcomes that a detector handles.
const OUTCOME_COUNT: usize = 200_000;
/// Range of the latencies of outcomes, in microseconds.
const LATENCY_SPREAD_US: u64 = 4_000;
/// Backend servers of a service in one region: 200,000 servers in 3,600
/// services and five regions.
const SERVERS_PER_REGION: usize = 11;
/// Number of services whose subsets are computed.
const SUBSET_SERVICE_COUNT: usize = 50;
/// Subset sizes, with the names under which the results are recorded.
const SUBSET_SIZES: [(usize, &str); 4] = [
    (1, "most_vms_per_server_of_subset_1"),
    (2, "most_vms_per_server_of_subset_2"),
    (3, "most_vms_per_server_of_subset_3"),
    (SERVERS_PER_REGION, "most_vms_per_server_of_all"),
];

/// Memory and time that one number of servers, organisations or VMs takes.
#[derive(Clone, Debug, Default)]
pub struct CapacityPoint {
    /// Measured values by name; the names end in their units.
    pub figures: indexmap::IndexMap<&'static str, u64>,
}

impl CapacityPoint {
    /// Measures `count` servers, organisations or VMs, depending on the role.
    ///
    /// # Errors
    ///
    /// Returns the reason for which a generated bundle was rejected.
    pub fn measure(role: measure::CapacityRole, count: usize) -> Result<Self, String> {
        let mut point = Self::default();
        match role {
            measure::CapacityRole::Detector => point.measure_detector(count)?,
            measure::CapacityRole::Fold => point.measure_fold(count)?,
            measure::CapacityRole::OrganisationLimits => {
                point.measure_bundle(&bundle_text::with_organisation_limits(count))?;
            }
            measure::CapacityRole::Organisations => point.measure_organisations(count),
            measure::CapacityRole::Servers => {
                point.measure_bundle(&bundle_text::with_servers(count))?;
            }
            measure::CapacityRole::Subset => point.measure_subsets(count),
        }
        point.record("peak_kib", status_kib("VmHWM:"));
        Ok(point)
    }

    fn record(&mut self, name: &'static str, value: impl TryInto<u64>) {
        let value = value.try_into().unwrap_or(u64::MAX);
        self.figures.insert(name, value);
    }

    /// Parses and checks a bundle and builds its route table.
    fn measure_bundle(&mut self, text: &str) -> Result<(), String> {
        self.record("text_bytes", text.len());
        let before_kib = status_kib("VmRSS:");
        let started = time::Instant::now();
        let parsed = bundle::parse(text).map_err(|error| error.to_string())?;
        self.record("parse_ms", started.elapsed().as_millis());
        self.record("held_kib", status_kib("VmRSS:").saturating_sub(before_kib));
        let started = time::Instant::now();
        let problems = bundle::check(&parsed);
        self.record("check_ms", started.elapsed().as_millis());
        if let Some(problem) = problems.first() {
            return Err(problem.to_string());
        }
        let started = time::Instant::now();
        let table = routing::RouteTable::build(&parsed);
        self.record("route_table_ms", started.elapsed().as_millis());
        self.record("route_table_bytes", table.memory_bytes());
        Ok(())
    }

    /// Applies one configuration change: proposal, sign-off and roll-out.
    fn measure_fold(&mut self, server_count: usize) -> Result<(), String> {
        let content = bundle_text::with_servers(server_count);
        let records = change_records(content);
        self.record(
            "record_bytes",
            records
                .iter()
                .map(|record| record.body.len())
                .sum::<usize>(),
        );
        let mut fold = config_fold::ConfigFold::new(configs::ConfigFoldConfig::default());
        let before_kib = status_kib("VmRSS:");
        let started = time::Instant::now();
        let events: Vec<_> = records
            .iter()
            .flat_map(|record| fold.apply(record))
            .collect();
        self.record("fold_ms", started.elapsed().as_millis());
        self.record("held_kib", status_kib("VmRSS:").saturating_sub(before_kib));
        if fold.in_force().is_none() {
            return Err(format!("{events:?}").chars().take(400).collect());
        }
        Ok(())
    }

    /// Starts and finishes one request of each organisation.
    fn measure_organisations(&mut self, count: usize) {
        let config = configs::AdmissionConfig {
            organisation_count: count,
            ..configs::AdmissionConfig::default()
        };
        let limit = bundle::OrganisationLimit::default();
        let names: Vec<String> = (0..count)
            .map(|index| format!("organisation-{index}"))
            .collect();
        let before_kib = status_kib("VmRSS:");
        let mut limiter = admission::OrganisationLimiter::new(&config, 1);
        let started = time::Instant::now();
        for name in &names {
            hint::black_box(limiter.try_start(0, name, &limit).is_ok());
            limiter.finish(name);
        }
        let elapsed_ns = started.elapsed().as_nanos();
        self.record("ns_per_request", elapsed_ns / count.max(1) as u128);
        self.record("kept_count", limiter.organisation_count());
        self.record("held_kib", status_kib("VmRSS:").saturating_sub(before_kib));
        hint::black_box(&limiter);
    }

    /// Records the largest number of VMs that connect to one server, for each subset
    /// size.
    fn measure_subsets(&mut self, vm_count: usize) {
        for (size, name) in SUBSET_SIZES {
            let services = 0..SUBSET_SERVICE_COUNT;
            let maxima = services.map(|service| most_vms_per_server(service, vm_count, size));
            self.record(name, maxima.max().unwrap_or_default());
        }
    }

    /// Passes outcomes of all servers of one service, in turn, to a detector.
    fn measure_detector(&mut self, server_count: usize) -> Result<(), String> {
        let text = bundle_text::with_servers(server_count);
        let parsed = bundle::parse(&text).map_err(|error| error.to_string())?;
        let mut service = bundle::Service::default();
        for other in parsed.services.into_values() {
            service.servers.extend(other.servers);
        }
        let ids: Vec<String> = service.servers.keys().cloned().collect();
        let before_kib = status_kib("VmRSS:");
        let config = configs::health::HealthConfig::default();
        let mut detector = health::Detector::new(&config, &service, 1);
        let (mut summaries, mut summary_bytes) = (0_u64, 0);
        let started = time::Instant::now();
        for index in 0..OUTCOME_COUNT {
            let event = health::DetectorEvent::Outcome(outcome(&ids, index));
            for action in detector.handle(index as u64 / 10, event) {
                if let health::DetectorAction::SendSummary { summary } = action {
                    summaries += 1;
                    summary_bytes = serde_json::to_vec(&summary).map_or(0, |json| json.len());
                }
            }
        }
        let elapsed_ns = started.elapsed().as_nanos();
        self.record("ns_per_outcome", elapsed_ns / OUTCOME_COUNT as u128);
        self.record("held_kib", status_kib("VmRSS:").saturating_sub(before_kib));
        self.record("summaries", summaries);
        self.record("last_summary_json_bytes", summary_bytes);
        Ok(())
    }
}

fn most_vms_per_server(service: usize, vm_count: usize, size: usize) -> usize {
    let ids: Vec<String> = (0..SERVERS_PER_REGION)
        .map(|server| format!("service-{service}-server-{server}"))
        .collect();
    let servers: Vec<&str> = ids.iter().map(String::as_str).collect();
    let mut vms_per_server = indexmap::IndexMap::new();
    for vm in 0..vm_count {
        for server in balancing::subset(&format!("vm-{vm}"), &servers, size) {
            *vms_per_server.entry(server).or_insert(0) += 1;
        }
    }
    vms_per_server.into_values().max().unwrap_or_default()
}

fn outcome(ids: &[String], index: usize) -> health::Outcome {
    use std::hash::{Hash as _, Hasher as _};
    let mut hasher = hash_map::DefaultHasher::new();
    index.hash(&mut hasher);
    health::Outcome {
        kind: health::OutcomeKind::Answered,
        latency_us: 1_000 + hasher.finish() % LATENCY_SPREAD_US,
        server_id: ids[index % ids.len()].clone(),
    }
}

fn change_records(content: String) -> Vec<config_fold::LogRecord> {
    let version = || "v1".to_owned();
    let digest = bundle::digest(&content);
    let bodies = [
        config_fold::RecordBody::BundleProposed {
            base_version: None,
            bundle_version: version(),
            content,
            digest,
            operator: "ana".to_owned(),
        },
        config_fold::RecordBody::SignedOff {
            bundle_version: version(),
            operator: "ben".to_owned(),
        },
        config_fold::RecordBody::RolledOut {
            base_version: None,
            bundle_version: version(),
            operator: "ana".to_owned(),
        },
    ];
    let records = (0_u64..)
        .zip(bodies)
        .map(|(offset, body)| config_fold::LogRecord {
            appended_unix_ms: offset,
            body: config_fold::Record::new(format!("record-{offset}"), body).to_json(),
            offset,
        });
    records.collect()
}

/// Returns a memory field of `/proc/self/status` in KiB; 0 if it cannot be read.
fn status_kib(field: &str) -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with(field));
    line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok())
        .unwrap_or_default()
}
