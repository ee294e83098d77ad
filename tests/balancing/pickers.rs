//! Tests of pickers, subsets and the spill budget.

use foxtailwinch::balancing;
use foxtailwinch::balancing::Picker as _;
use foxtailwinch::bundle;
use foxtailwinch::configs;

const PICK_COUNT: u64 = 10_000;
const SEED: u64 = 20_261_204;

fn server(server_id: &str) -> balancing::ServerView<'_> {
    balancing::ServerView {
        cold_since_ms: None,
        draining: false,
        same_zone: true,
        own_in_flight_requests: 0,
        reported_at_ms: 0,
        reported_load_permille: Some(0),
        same_region: true,
        server_id,
        slot_count: 2,
        weight_permille: 1_000,
    }
}

fn pickers() -> Vec<Box<dyn balancing::Picker>> {
    let config = configs::balancing::BalancingConfig::default();
    vec![
        Box::new(balancing::LeastOutstanding::new(&config, SEED)),
        Box::new(balancing::TwoChoices::new(&config, SEED)),
        Box::new(balancing::UniformRandom::new(&config, SEED)),
    ]
}

/// Returns the number of picks of each server for each picker.
fn count_picks(
    request: &balancing::PickRequest<'_>,
    servers: &[balancing::ServerView<'_>],
) -> Vec<(&'static str, Vec<u64>)> {
    let counted = pickers().into_iter().map(|mut picker| {
        let mut counts = vec![0; servers.len()];
        for _ in 0..PICK_COUNT {
            if let Some(index) = picker.pick(0, request, servers) {
                counts[index] += 1;
            }
        }
        (picker.name(), counts)
    });
    counted.collect()
}

/// Guards against requests to servers that must not get any: draining servers,
/// servers excluded for this request and servers with weight 0.
#[test]
fn draining_excluded_and_weightless_servers_are_never_picked() {
    let mut servers = ["a", "b", "c", "d"].map(server);
    servers[0].draining = true;
    servers[1].weight_permille = 0;
    let request = balancing::PickRequest {
        excluded: &["c"],
        may_spill: true,
    };
    for (name, counts) in count_picks(&request, &servers) {
        assert_eq!(counts, [0, 0, 0, PICK_COUNT], "{name}");
    }
    for (name, counts) in count_picks(&request, &servers[..3]) {
        assert_eq!(counts, [0, 0, 0], "{name}");
    }
}

/// A cold or suspected server must receive few requests, but not none.
#[test]
fn cold_and_suspected_servers_get_a_small_share() {
    let mut servers = ["a", "b", "c", "d"].map(server);
    servers[0].cold_since_ms = Some(0);
    servers[1].weight_permille = 20;
    for (name, counts) in count_picks(&balancing::PickRequest::default(), &servers) {
        assert!(
            (1..PICK_COUNT / 10).contains(&counts[0]),
            "{name} {counts:?}"
        );
        assert!(
            (1..PICK_COUNT / 50).contains(&counts[1]),
            "{name} {counts:?}"
        );
    }
}

#[test]
fn loaded_servers_are_avoided_and_requests_spill_only_when_the_region_is_full() {
    let config = configs::balancing::BalancingConfig::default();
    let mut picker = balancing::TwoChoices::new(&config, SEED);
    let mut servers = ["a", "b", "far"].map(server);
    servers[2].same_region = false;
    servers[0].reported_load_permille = Some(1_000);
    let may_spill = balancing::PickRequest {
        excluded: &[],
        may_spill: true,
    };
    assert_eq!(picker.pick(0, &may_spill, &servers), Some(1));
    servers[1].reported_load_permille = Some(1_000);
    assert_eq!(picker.pick(0, &may_spill, &servers), Some(2));
    let stay = balancing::PickRequest::default();
    assert_ne!(picker.pick(0, &stay, &servers), Some(2));
    servers[2].reported_load_permille = Some(1_000);
    assert_ne!(picker.pick(0, &may_spill, &servers), Some(2));
}

/// A picker that relies on load reports alone would overload a server between
/// two reports.
#[test]
fn load_estimate_includes_requests_sent_since_the_report() {
    let config = configs::balancing::BalancingConfig::default();
    let mut picker = balancing::TwoChoices::new(&config, SEED);
    let servers = ["a", "b"].map(server);
    let request = balancing::PickRequest::default();
    picker.pick(0, &request, &servers);
    picker.observe(0, balancing::PickerEvent::Sent { server_id: "a" });
    assert_eq!(picker.pick(0, &request, &servers), Some(1));
    picker.observe(0, balancing::PickerEvent::Finished { server_id: "a" });
    picker.observe(0, balancing::PickerEvent::Shed { server_id: "b" });
    assert_eq!(picker.pick(0, &request, &servers), Some(0));
}

/// Guards against servers that few VMs connect to, and against many new
/// connections when one server leaves.
#[test]
fn subsets_spread_vms_evenly_and_change_little_when_a_server_leaves() {
    let ids: Vec<String> = (0..100).map(|index| format!("server-{index}")).collect();
    let servers: Vec<&str> = ids.iter().map(String::as_str).collect();
    let mut vm_counts = indexmap::IndexMap::<&str, u32>::new();
    let mut moved = 0;
    for vm in 0..1_000 {
        let vm_id = format!("vm-{vm}");
        let chosen = balancing::subset(&vm_id, &servers, 20);
        assert_eq!(chosen.len(), 20);
        for server_id in &chosen {
            *vm_counts.entry(server_id).or_default() += 1;
        }
        let fewer = balancing::subset(&vm_id, &servers[1..], 20);
        moved += fewer.iter().filter(|id| !chosen.contains(id)).count();
    }
    // Each server is in the subsets of 200 VMs on average, with a standard
    // deviation of 13.
    assert!(vm_counts.values().all(|count| (140..=260).contains(count)));
    assert_eq!(moved, vm_counts["server-0"] as usize);
}

/// Guards against traffic between regions beyond the budget, and against bulk
/// requests that use up the budget of critical ones.
#[test]
fn spilled_bytes_are_capped_counted_and_reserved_by_priority() {
    let config = configs::balancing::BalancingConfig {
        spill_bytes_per_s: 1_000,
        ..configs::balancing::BalancingConfig::default()
    };
    let mut budget = balancing::SpillBudget::new(&config);
    let mut spilled = [0_u64; 2];
    let priorities = [bundle::Priority::Bulk, bundle::Priority::Critical];
    for now_ms in 0..10_000 {
        for (index, &priority) in priorities.iter().enumerate() {
            if budget.may_spill(now_ms, priority) {
                budget.record_request();
                budget.record_bytes(now_ms, 10);
                spilled[index] += 10;
            }
        }
    }
    // Ten seconds at the rate, a burst of one second and one request beyond the
    // budget.
    assert!(
        budget.spilled_bytes() <= 11_010,
        "{}",
        budget.spilled_bytes()
    );
    assert_eq!(budget.spilled_bytes(), spilled[0] + spilled[1]);
    assert_eq!(budget.spilled_requests() * 10, budget.spilled_bytes());
    assert!(spilled[1] > 10 * spilled[0], "{spilled:?}");
}
