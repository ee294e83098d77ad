//! Tests of the parser, the consistency checks and the comparison of bundles.

#![allow(
    clippy::needless_raw_string_hashes,
    reason = "expect-test adds the hashes when it updates a snapshot"
)]

use expect_test::expect;
use foxtailwinch::bundle;
use proptest::prelude::any;

const VALID_BUNDLE: &str = "\
services:
  bei:
    floor_servers: 1
    servers:
      bei-1:
        address: 127.0.0.1:9001
        availability_zone: kariakoo
        region: pwani
        slot_count: 6
      bei-2:
        address: 127.0.0.1:9002
        availability_zone: mbezi
        region: pwani
        slot_count: 6
routes:
- path_prefix: /prices
  service: bei
- path_prefix: /orders
  methods: [POST]
  service: bei
";

/// Replaces `from` by `to` in the valid bundle, and returns the parse error or
/// the problems of the result.
fn problems_after_replacing(from: &str, to: &str) -> String {
    assert!(
        VALID_BUNDLE.contains(from),
        "the valid bundle contains {from}"
    );
    let text = VALID_BUNDLE.replacen(from, to, 1);
    match bundle::parse(&text) {
        Err(error) => error.to_string(),
        Ok(bundle) => {
            let problems = bundle::check(&bundle);
            let lines: Vec<_> = problems
                .iter()
                .map(|p| format!("{:?}: {p}", p.kind))
                .collect();
            lines.join("\n")
        }
    }
}

#[test]
fn a_valid_bundle_has_no_problem() {
    expect![""].assert_eq(&problems_after_replacing("bei", "bei"));
}

/// Guards against parse errors that do not show operators where in the bundle
/// the error is.
#[test]
fn parse_errors_name_line_column_and_field() {
    let changes = [
        ("slot_count: 6", "slot_counts: 6"),
        ("floor_servers: 1", "floor_servers: many"),
        ("address: 127.0.0.1:9002", "address: localhost"),
        ("  service: bei\n- path", "  srvice: bei\n- path"),
        (
            "  methods: [POST]\n  service: bei",
            "  methods: [POST]\n  srvice: bei",
        ),
        ("path_prefix: /prices", "path_prefix: [/prices"),
        ("      bei-2:", "      bei-1:"),
        ("        region: pwani\n", ""),
    ];
    let messages: Vec<String> = changes
        .iter()
        .map(|(from, to)| problems_after_replacing(from, to))
        .collect();
    expect![[r#"
        line 9, column 9, field `services.bei.servers.bei-1.slot_counts`: unknown field `slot_counts`; expected one of address, availability_zone, connection_limit, region, slot_count
        line 3, column 20, field `services.bei.floor_servers`: a value of another type; expected u32
        line 11, column 18, field `services.bei.servers.bei-2.address`: invalid socket address syntax; expected a value of the field's type
        line 17, column 3, field `routes[0].srvice`: unknown field `srvice`; expected one of idempotent, methods, path_prefix, service
        line 20, column 3, field `routes[1].srvice`: unknown field `srvice`; expected one of idempotent, methods, path_prefix, service
        line 16, column 16, field `routes[0].path_prefix`: an unexpected YAML element; expected string scalar
        line 10, column 7, field `services.bei.servers.bei-1`: duplicate key `bei-1`; expected unique keys
        line 8, column 9, field `services.bei.servers.bei-1.region`: missing field; expected field `region`"#]].assert_eq(&messages.join("\n"));
}

/// Guards against bundles that parse but cannot be served, such as a floor
/// above the number of servers or a route to an unknown service.
#[test]
fn contradictions_name_the_field_and_the_expected_value() {
    let changes = [
        ("floor_servers: 1", "floor_servers: 3"),
        ("slot_count: 6", "slot_count: 0"),
        ("9002", "9001"),
        ("127.0.0.1:9002", "0.0.0.0:9002"),
        ("service: bei", "service: bay"),
        ("/prices", "prices/"),
        ("/prices", "/orders"),
        ("[POST]", "[POST, POST]"),
        ("[POST]", "[post]"),
        ("floor_servers: 1", "false_ejection_weight: 1.5"),
        ("floor_servers: 1", "retry_budget_percent: 101"),
        ("floor_servers: 1", "deadline_ms: 0"),
        ("region: pwani", "region: ''"),
        (
            "routes:",
            "default_organisation_limit: {in_flight_requests: 0}\nroutes:",
        ),
    ];
    let messages: Vec<String> = changes
        .iter()
        .map(|(from, to)| problems_after_replacing(from, to))
        .collect();
    expect![[r#"
        FloorAboveServers: field `services.bei.floor_servers`: 3; expected at most 2, the number of servers
        OutOfRange: field `services.bei.servers.bei-1.slot_count`: 0; expected at least 1
        AddressTwice: field `services.bei.servers.bei-2.address`: 127.0.0.1:9001, already used by services.bei.servers.bei-1; expected an address that no other server uses
        OutOfRange: field `services.bei.servers.bei-2.address`: 0.0.0.0:9002; expected an address and port to connect to
        UnknownService: field `routes[0].service`: `bay`; expected the name of a service in this bundle
        BadPathPrefix: field `routes[0].path_prefix`: `prices/`; expected `/` or complete segments such as `/orders/new`, without a query or a trailing `/`

        RouteTwice: field `routes[1]`: POST /orders, already matched by routes[1]; expected one route for each method and path prefix
        BadMethod: field `routes[1].methods`: `post`; expected a method in upper case such as `GET`
        OutOfRange: field `services.bei.false_ejection_weight`: 1.5; expected 0.0 to 1.0
        OutOfRange: field `services.bei.retry_budget_percent`: 101; expected 0 to 100
        OutOfRange: field `services.bei.deadline_ms`: 0; expected 1 to 600000
        BadName: field `services.bei.servers.bei-1.region`: ``; expected a name of printable ASCII characters without spaces
        OutOfRange: field `default_organisation_limit.in_flight_requests`: 0; expected at least 1"#]].assert_eq(&messages.join("\n"));
    let empty = bundle::check(&bundle::Bundle::default());
    assert_eq!(empty[0].kind, bundle::ProblemKind::NoService);
}

/// Guards against a diff that reports every later route as changed after one
/// route is inserted or removed.
#[test]
fn a_diff_identifies_fields_by_path_and_routes_by_prefix() {
    let before = bundle::parse(VALID_BUNDLE).unwrap();
    let after = VALID_BUNDLE
        .replace("floor_servers: 1", "floor_servers: 2")
        .replace("/prices", "/price")
        .replace("      bei-2:", "      bei-3:");
    let changes = bundle::diff(&before, &bundle::parse(&after).unwrap());
    let lines: Vec<String> = changes.iter().map(ToString::to_string).collect();
    expect![[r#"
        - routes(* /prices).path_prefix: "/prices"
        - routes(* /prices).service: "bei"
        ~ services.bei.floor_servers: 1 -> 2
        - services.bei.servers.bei-2.address: "127.0.0.1:9002"
        - services.bei.servers.bei-2.availability_zone: "mbezi"
        - services.bei.servers.bei-2.connection_limit: 330
        - services.bei.servers.bei-2.region: "pwani"
        - services.bei.servers.bei-2.slot_count: 6
        + routes(* /price).path_prefix: "/price"
        + routes(* /price).service: "bei"
        + services.bei.servers.bei-3.address: "127.0.0.1:9002"
        + services.bei.servers.bei-3.availability_zone: "mbezi"
        + services.bei.servers.bei-3.connection_limit: 330
        + services.bei.servers.bei-3.region: "pwani"
        + services.bei.servers.bei-3.slot_count: 6"#]]
    .assert_eq(&lines.join("\n"));
    assert_eq!(bundle::diff(&before, &before), []);
}

proptest::proptest! {
    #![proptest_config(proptest::test_runner::Config {
        cases: 2_000,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_204),
        ..proptest::test_runner::Config::default()
    })]

    /// Guards against a panic in the parser or the checks when a bundle's text
    /// is damaged.
    #[test]
    fn damaged_bundles_never_panic(at in any::<proptest::sample::Index>(), inserted in ".{0,6}") {
        let at = at.index(VALID_BUNDLE.len());
        let text = format!("{}{inserted}{}", &VALID_BUNDLE[..at], &VALID_BUNDLE[at + 1..]);
        if let Ok(bundle) = bundle::parse(&text) {
            let _ = bundle::check(&bundle);
        }
    }
}
