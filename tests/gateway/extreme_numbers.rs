//! Largest numbers that entries of the registry, positions and routes can have.

use foxtailwinch::configs;
use foxtailwinch::gateway;
use foxtailwinch::ports;

use crate::fixtures;

/// Guards against arithmetic that overflows on what a server's entry says.
#[test]
fn servers_are_chosen_beside_one_with_the_largest_numbers() {
    let config = configs::GatewayConfig::default();
    let mut pool = gateway::BackendPool::new(config.suspicion, config.server_use, 700);
    let largest = |id: &str| ports::Backend {
        born_unix_ms: u64::MAX,
        slot_count: u32::MAX,
        warmup_left_ms: u64::MAX,
        ..fixtures::backend(id)
    };
    let servers = vec![largest("i-1"), largest("i-2"), fixtures::backend("i-3")];
    let servers = fixtures::shared(servers);
    pool.set_backends(7, servers.iter());
    let request = gateway::ChoiceRequest {
        availability_zone: "a-1",
        random_value: 0.5,
        excluded: &[],
        may_retry: false,
        region: "a",
        region_cost: 1.2,
        service: "shop",
        zone_cost: 0.3,
    };
    assert!(pool.free_slot_count(8, &request) > 6);
    let choice = pool.choose(8, &request).expect("a server");
    let excluded = [choice.incarnation];
    let request = gateway::ChoiceRequest {
        excluded: &excluded,
        ..request
    };
    assert!(pool.choose_free(8, &request).is_some());
}

/// Guards against requests that fail because the sum of the weights of a route is too
/// large.
#[test]
fn largest_weights_split_the_requests() {
    let target = |service: &str| ports::RouteTarget {
        service: service.to_owned(),
        weight: u32::MAX,
    };
    let route = ports::Route {
        targets: vec![target("old"), target("new")],
        ..fixtures::route("shop.example", "/", "split")
    };
    let middle = route.total_weight() / 2;
    let targets = [0, middle - 1, middle, route.total_weight() - 1];
    let targets = targets.map(|value| route.target(value));
    assert_eq!(targets, ["old", "old", "new", "new"]);
}

/// Guards against later changes that do not apply because one offset is out of range.
#[test]
fn position_out_of_range_stays_in_its_era_and_has_a_next_one() {
    let packed = |era, offset| ports::StorePosition { era, offset }.packed();
    assert!(packed(3, u64::MAX) + 1 < packed(4, 0));
    assert!(packed(3, 1 << 40) > packed(3, 7));
    assert!(packed(u64::MAX, u64::MAX).checked_add(1).is_some());
    let mut table = gateway::BackendTable::default();
    let entry = |era, id| fixtures::entry(packed(era, u64::MAX), id, Some(fixtures::backend(id)));
    table.apply_changes(
        0,
        fixtures::page(vec![entry(3, "i-1"), entry(u64::MAX, "i-2")]),
    );
    assert_eq!(fixtures::ids(&table), ["i-1", "i-2"]);
}
