//! Tests of the lookup of routes by host and longest path prefix, and of invalid
//! configurations.

use std::sync;

use foxtailwinch::gateway;
use foxtailwinch::ports;

use crate::fixtures;

fn found(host: &str, path: &str) -> String {
    let routes = vec![
        fixtures::route("shop.example", "/", "root"),
        fixtures::route("shop.example", "/a/", "a"),
        fixtures::route("shop.example", "/a/b/", "a-b"),
        fixtures::route("other.example", "/a/", "other"),
    ];
    let index = gateway::RouteIndex::build(sync::Arc::new(fixtures::configuration(1, routes)));
    let route = index.find(host, path);
    route.map_or_else(|| "none".to_owned(), |route| route.name.clone())
}

#[test]
fn longest_prefix_of_the_host_applies() {
    let cases = [
        ("shop.example", "/a/b/c"),
        ("shop.example", "/a/bc"),
        ("shop.example", "/a/b"),
        ("shop.example", "/ab"),
        ("SHOP.example:8080", "/a/x"),
        ("other.example", "/a/b/c"),
        ("other.example", "/b"),
        ("unknown.example", "/a/"),
    ];
    let table: Vec<String> = cases
        .iter()
        .map(|(host, path)| format!("{host} {path} -> {}", found(host, path)))
        .collect();
    expect_test::expect![[r"
        shop.example /a/b/c -> a-b
        shop.example /a/bc -> a
        shop.example /a/b -> a
        shop.example /ab -> root
        SHOP.example:8080 /a/x -> a
        other.example /a/b/c -> other
        other.example /b -> none
        unknown.example /a/ -> none"]]
    .assert_eq(&table.join("\n"));
}

#[test]
fn invalid_configuration_is_rejected_with_its_fault() {
    let target = |service: &str, weight| ports::RouteTarget {
        service: service.to_owned(),
        weight,
    };
    let valid = fixtures::route("shop.example", "/a/", "a");
    let candidates = [
        ports::Route {
            host: String::new(),
            ..valid.clone()
        },
        ports::Route {
            path_prefix: "/a".to_owned(),
            ..valid.clone()
        },
        ports::Route {
            targets: vec![target("shop", 0)],
            ..valid.clone()
        },
        ports::Route {
            targets: vec![target("unknown", 1)],
            ..valid.clone()
        },
        ports::Route {
            timeout_ms: 0,
            ..valid.clone()
        },
    ];
    let mut faults: Vec<String> = candidates
        .into_iter()
        .filter_map(|route| fixtures::configuration(1, vec![route]).validation_error())
        .collect();
    let twice = fixtures::configuration(1, vec![valid.clone(), valid]);
    faults.extend(twice.validation_error());
    expect_test::expect![[r"
        route a: the host is empty
        route a: the path prefix must begin and end with a slash
        route a: no target service has a weight above 0
        route a: a target service is not in the list of services
        route a: the timeout must be above 0
        route a: another route has the same host and path prefix"]]
    .assert_eq(&faults.join("\n"));
}

#[test]
fn weights_split_the_random_values() {
    let route = ports::Route {
        targets: vec![
            ports::RouteTarget {
                service: "new".to_owned(),
                weight: 10,
            },
            ports::RouteTarget {
                service: "old".to_owned(),
                weight: 90,
            },
        ],
        ..fixtures::route("shop.example", "/", "split")
    };
    let to_new = (0..route.total_weight()).filter(|value| route.target(*value) == "new");
    assert_eq!(to_new.count(), 10);
}

#[test]
fn change_turns_one_configuration_into_the_next() {
    let base = fixtures::configuration(
        3,
        vec![
            fixtures::route("shop.example", "/a/", "a"),
            fixtures::route("shop.example", "/b/", "b"),
            fixtures::route("shop.example", "/c/", "c"),
        ],
    );
    let next = fixtures::configuration(
        7,
        vec![
            fixtures::route("shop.example", "/a/", "a"),
            ports::Route {
                timeout_ms: 900,
                ..fixtures::route("shop.example", "/b/", "b")
            },
            fixtures::route("shop.example", "/d/", "d"),
        ],
    );
    let change = ports::ConfigurationChange::between(&base, &next);
    assert_eq!((change.routes.len(), change.removed.len()), (2, 1));
    let mut applied = change.apply(Some(&base)).expect("the base fits");
    applied.routes.sort_by(|a, b| a.name.cmp(&b.name));
    assert_eq!(applied, next);
    assert!(
        change.apply(Some(&next)).is_none(),
        "another base is refused"
    );
}
