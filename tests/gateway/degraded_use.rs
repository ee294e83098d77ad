//! Use of a region's servers while a service is degraded, in virtual time.

use std::net;

use foxtailwinch::configs;
use foxtailwinch::gateway;
use foxtailwinch::ports;
use rand::Rng as _;
use rand::SeedableRng as _;

use crate::fixtures;

const ZONES: usize = 4;
const VMS_PER_ZONE: usize = 7;
/// Each server fails most of its requests in a part of each period of this length.
const PERIOD_MS: u64 = 12_000;
const FAILING_MS: u64 = 3_600;
const FAILED_SHARE: f64 = 0.9;
const REPORT_INTERVAL_MS: u64 = 150;
const RUN_MS: u64 = 20_000;
/// By then, the failures have been seen.
const SETTLED_MS: u64 = 8_000;
/// When further servers join.
const JOIN_MS: u64 = 4_000;
/// Time after which a server that failed by itself is sound again, by the contract.
const SOUND_AGAIN_MS: u64 = 2_000;
/// Length of the windows, and the share of the sound servers, in thousandths, that must
/// get a request in each of them, by the contract.
const WINDOW_MS: u64 = 2_000;
const MIN_SHARE_PERMILLE: usize = 700;

/// Servers of a zone, and its callers' uploads.
#[derive(Clone, Copy)]
struct Zone {
    join_count: usize,
    per_s: f64,
    server_count: usize,
}

impl Zone {
    const fn new(server_count: usize, join_count: usize, per_s: f64) -> Self {
        Self {
            join_count,
            per_s,
            server_count,
        }
    }
}

struct Run {
    end_ms: u64,
    incarnation: u64,
    is_failure: bool,
    vm: usize,
}

fn zone_name(zone: usize) -> String {
    format!("a-{zone}")
}

/// Returns the servers of all zones: those that are there from the begin and those that
/// join.
fn servers(zones: &[Zone; ZONES]) -> (Vec<ports::Backend>, Vec<ports::Backend>) {
    let named = |name: &str, zone: usize, count: usize| {
        let servers = (0..count).map(|number| ports::Backend {
            availability_zone: zone_name(zone),
            ..fixtures::backend(&format!("{name}{zone}-{number:02}"))
        });
        servers.collect::<Vec<_>>()
    };
    let numbered = || zones.iter().enumerate();
    let first = numbered().flat_map(|(number, zone)| named("s", number, zone.server_count));
    let joining = numbered().flat_map(|(number, zone)| named("j", number, zone.join_count));
    (first.collect(), joining.collect())
}

/// Time of a request, the incarnation of its server, and whether it failed.
type SentRequest = (u64, u64, bool);

/// Returns the phase in its period of each server that is there from the begin, and the
/// requests.
fn run_region(
    seed: u64,
    zones: &[Zone; ZONES],
) -> (indexmap::IndexMap<u64, u64>, Vec<SentRequest>) {
    let mut random = rand::rngs::SmallRng::seed_from_u64(seed);
    let (servers, joining) = servers(zones);
    let (servers, joining) = (fixtures::shared(servers), fixtures::shared(joining));
    let all = servers.iter().chain(&joining);
    let phases_ms: indexmap::IndexMap<u64, u64> = all
        .map(|server| (server.incarnation(), random.random_range(0..PERIOD_MS)))
        .collect();
    let config = configs::GatewayConfig::default();
    let new_pool = |_| {
        let (suspicion, server_use) = (config.suspicion.clone(), config.server_use.clone());
        let mut pool = gateway::BackendPool::new(suspicion, server_use, 700);
        pool.set_backends(0, servers.iter());
        pool
    };
    let vm_count = ZONES * VMS_PER_ZONE;
    let mut pools: Vec<gateway::BackendPool> = (0..vm_count).map(new_pool).collect();
    let mut runs: Vec<Run> = Vec::new();
    let mut sent = Vec::new();
    for now_ms in 1..RUN_MS {
        if now_ms == JOIN_MS {
            for pool in &mut pools {
                pool.set_backends(now_ms, servers.iter().chain(&joining));
            }
        }
        let ended = runs.extract_if(.., |run| run.end_ms <= now_ms);
        for run in ended.collect::<Vec<_>>() {
            pools[run.vm].record_request_end(run.incarnation);
            let evidence = if run.is_failure {
                pools[run.vm].record_unserved(now_ms, "shop");
                gateway::Evidence::Failure
            } else {
                gateway::Evidence::Success
            };
            if pools[run.vm].record_evidence(now_ms, run.incarnation, evidence) {
                for pool in &mut pools {
                    pool.record_peer_evidence(now_ms, run.incarnation, evidence);
                }
            }
        }
        if now_ms.is_multiple_of(REPORT_INTERVAL_MS) {
            for from in 0..vm_count {
                let report = pools[from].take_report();
                let port = 7_000 + u16::try_from(from).expect("a small number");
                let address = net::SocketAddr::from(([10, 0, 0, 1], port));
                for to in (0..vm_count).filter(|to| *to != from) {
                    pools[to].apply_report(now_ms, address, &report);
                }
            }
        }
        for (zone, Zone { per_s, .. }) in zones.iter().enumerate() {
            if random.random::<f64>() >= per_s / 1_000.0 {
                continue;
            }
            let vm = zone * VMS_PER_ZONE + random.random_range(0..VMS_PER_ZONE);
            let zone = zone_name(zone);
            let request = gateway::ChoiceRequest {
                availability_zone: &zone,
                random_value: random.random(),
                excluded: &[],
                may_retry: false,
                region: "a",
                region_cost: config.distance.upload_region_cost,
                service: "shop",
                zone_cost: config.distance.upload_zone_cost,
            };
            pools[vm].record_begin(now_ms, "shop");
            let choice = pools[vm].choose(now_ms, &request).expect("a server");
            let is_failing = (now_ms + phases_ms[&choice.incarnation]) % PERIOD_MS < FAILING_MS;
            let is_failure = is_failing && random.random::<f64>() < FAILED_SHARE;
            let run_ms = if is_failure {
                5
            } else {
                random.random_range(700..2_200)
            };
            runs.push(Run {
                end_ms: now_ms + run_ms,
                incarnation: choice.incarnation,
                is_failure,
                vm,
            });
            sent.push((now_ms, choice.incarnation, is_failure));
        }
    }
    let first = servers.iter().map(|server| server.incarnation());
    let first = first.map(|incarnation| (incarnation, phases_ms[&incarnation]));
    (first.collect(), sent)
}

/// Returns whether a server fails at no time in a window, nor right before it.
fn is_sound(phase_ms: u64, begin_ms: u64) -> bool {
    let times_ms = begin_ms - SOUND_AGAIN_MS..begin_ms + WINDOW_MS;
    let mut times_ms = times_ms.step_by(100);
    times_ms.all(|at_ms| (at_ms + phase_ms) % PERIOD_MS >= FAILING_MS)
}

/// Checks that enough sound servers get a request in each window in which more than a
/// tenth of the requests fail, and that there are such windows.
fn check_use(zones: &[Zone; ZONES]) {
    let mut checked_count = 0;
    for seed in 1..=4 {
        let (phases_ms, sent) = run_region(seed, zones);
        for begin_ms in (SETTLED_MS..RUN_MS - WINDOW_MS).step_by(100) {
            let window = begin_ms..begin_ms + WINDOW_MS;
            let in_window = || sent.iter().filter(|(at_ms, _, _)| window.contains(at_ms));
            let failed_count = in_window().filter(|(_, _, is_failure)| *is_failure).count();
            if failed_count * 10 <= in_window().count() {
                continue;
            }
            checked_count += 1;
            let sound = phases_ms.iter();
            let sound = sound.filter(|(_, phase_ms)| is_sound(**phase_ms, begin_ms));
            let sound: indexmap::IndexSet<u64> =
                sound.map(|(incarnation, _)| *incarnation).collect();
            let needed = (sound.len() * MIN_SHARE_PERMILLE).div_ceil(1_000);
            let used: indexmap::IndexSet<u64> = in_window()
                .map(|(_, incarnation, _)| *incarnation)
                .filter(|incarnation| sound.contains(incarnation))
                .collect();
            assert!(
                used.len() >= needed,
                "seed {seed}, from {begin_ms} ms: {} of {} sound servers, {needed} needed",
                used.len(),
                sound.len()
            );
        }
    }
    assert!(checked_count > 0, "the service was degraded");
    println!("{checked_count} windows checked");
}

/// Guards against zones whose servers get nothing while a service is degraded: more
/// servers than callers' requests are there, and the VMs of the other zones keep to
/// their own servers, above all for uploads.
#[test]
fn servers_of_all_zones_are_used_while_a_service_is_degraded() {
    check_use(&[
        Zone::new(20, 0, 7.0),
        Zone::new(20, 0, 11.0),
        Zone::new(18, 0, 18.0),
        Zone::new(16, 0, 22.0),
    ]);
}

/// Guards against a degraded service whose few requests go to servers that have just
/// joined: of the servers that had served before, more than half got nothing for two
/// seconds.
#[test]
fn proven_servers_are_used_first_while_requests_are_fewer_than_servers() {
    check_use(&[
        Zone::new(12, 14, 4.4),
        Zone::new(12, 14, 6.8),
        Zone::new(12, 12, 10.0),
        Zone::new(12, 8, 12.4),
    ]);
}
