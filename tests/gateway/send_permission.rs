//! Tests of what a server's own statements forbid, alone and together.

use foxtailwinch::configs;
use foxtailwinch::gateway;

use crate::fixtures;

/// Guards against a statement that is forgotten beside another one, or that ends earlier
/// than the later of the two.
#[test]
fn all_pairs_of_statements() {
    let limit = |used_requests: u32| {
        let mut limit = gateway::SendLimit::new(0, 1.0);
        for _ in 0..used_requests {
            limit.record_send(0);
        }
        Some(limit)
    };
    let open = gateway::SendConstraints::default();
    let leaving = gateway::SendConstraints {
        is_leaving: true,
        ..open
    };
    let limited = gateway::SendConstraints {
        limit: limit(3),
        ..open
    };
    let resting = gateway::SendConstraints {
        rest_until_ms: 3_000,
        ..open
    };
    let given = [
        ("nothing", open),
        ("leaving", leaving),
        ("limited", limited),
        ("resting", resting),
        (
            "limit with room",
            gateway::SendConstraints {
                limit: limit(1),
                ..open
            },
        ),
        (
            "leaving, limited",
            gateway::SendConstraints {
                is_leaving: true,
                ..limited
            },
        ),
        (
            "leaving, resting",
            gateway::SendConstraints {
                is_leaving: true,
                ..resting
            },
        ),
        (
            "limited, rests for longer",
            gateway::SendConstraints {
                rest_until_ms: 3_000,
                ..limited
            },
        ),
        (
            "rests, limited for longer",
            gateway::SendConstraints {
                limit: limit(6),
                ..resting
            },
        ),
    ];
    let table = given.map(|(name, constraints)| {
        let at = |now_ms| constraints.permission(now_ms);
        format!("{name}: {:?}, {:?}, {:?}", at(0), at(2_500), at(6_000))
    });
    expect_test::expect![[r"
        nothing: Granted, Granted, Granted
        leaving: Leaving, Leaving, Leaving
        limited: Limited(2000), Granted, Granted
        resting: Resting(3000), Resting(3000), Granted
        limit with room: Granted, Granted, Granted
        leaving, limited: Leaving, Leaving, Leaving
        leaving, resting: Leaving, Leaving, Leaving
        limited, rests for longer: Resting(3000), Resting(3000), Granted
        rests, limited for longer: Limited(5000), Limited(5000), Granted"]]
    .assert_eq(&table.join("\n"));
}

fn pool() -> gateway::BackendPool {
    let config = configs::GatewayConfig::default();
    let mut pool = gateway::BackendPool::new(config.suspicion, config.server_use, 700);
    let backends = ["s0", "s1"].map(fixtures::backend);
    pool.set_backends(0, fixtures::shared(backends.to_vec()).iter());
    pool
}

fn request() -> gateway::ChoiceRequest<'static> {
    gateway::ChoiceRequest {
        availability_zone: "a-1",
        random_value: 0.5,
        excluded: &[],
        may_retry: false,
        region: "a",
        region_cost: 1.2,
        service: "shop",
        zone_cost: 0.3,
    }
}

/// Guards against a server that is used again because its record was gone for a moment,
/// and against one that is held by what its predecessor said.
#[test]
fn server_that_leaves_is_remembered_while_its_record_is_gone() {
    let mut pool = pool();
    let leaving = fixtures::backend("s0").incarnation();
    assert!(pool.record_leaving(1_000, leaving, true));
    assert!(!pool.record_leaving(1_100, leaving, false), "no news");
    pool.set_backends(
        2_000,
        fixtures::shared(vec![fixtures::backend("s1")]).iter(),
    );
    let both = ["s0", "s1"].map(fixtures::backend).to_vec();
    pool.set_backends(3_000, fixtures::shared(both).iter());
    for _ in 0..10 {
        let choice = pool.choose(3_000, &request()).expect("a server");
        assert_eq!(choice.backend.id, "s1");
    }
    let mut restarted = fixtures::backend("s0");
    restarted.born_unix_ms += 1;
    let both = vec![restarted, fixtures::backend("s1")];
    pool.set_backends(4_000, fixtures::shared(both).iter());
    let choice = pool.choose(4_000, &request()).expect("a server");
    assert_eq!(choice.backend.id, "s0", "the idle one");
}

/// Load pattern: a degraded service has to use all of its servers. Guards against a
/// server that is used for that although it rests.
#[test]
fn resting_server_gets_no_request_for_the_minimum_use() {
    let mut pool = pool();
    for number in 0..40 {
        pool.record_begin(number, "shop");
        pool.record_unserved(number, "shop");
    }
    let resting = fixtures::backend("s0").incarnation();
    pool.record_rest(100, resting, 2_000, 0.0);
    for now_ms in [100, 1_000, 2_099] {
        let choice = pool.choose(now_ms, &request()).expect("a server");
        assert_eq!(choice.backend.id, "s1");
        pool.record_request_end(choice.incarnation);
    }
    let other = fixtures::backend("s1").incarnation();
    pool.record_rest(200, other, 5_000, 0.0);
    assert!(pool.choose(300, &request()).is_none());
    let next_open = pool.next_open(300, &request());
    assert_eq!(next_open, Some(gateway::SendPermission::Resting(2_100)));
    assert!(pool.choose(2_100, &request()).is_some());
}
