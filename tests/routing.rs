//! Tests of route lookups.

use foxtailwinch::bundle;
use foxtailwinch::routing;
use proptest::prelude::Strategy as _;
use proptest::test_runner;

const CASES: u32 = 400;
const RNG_SEED: u64 = 20_261_204;

fn route(path_prefix: &str, methods: &[&str], service: &str) -> bundle::Route {
    bundle::Route {
        idempotent: None,
        methods: methods.iter().map(ToString::to_string).collect(),
        path_prefix: path_prefix.to_owned(),
        service: service.to_owned(),
    }
}

fn shop_bundle() -> bundle::Bundle {
    let idempotent = bundle::Service {
        idempotent: true,
        ..bundle::Service::default()
    };
    let mut orders_lookup = route("/orders/lookups", &["GET"], "agizo");
    orders_lookup.idempotent = Some(true);
    bundle::Bundle {
        routes: vec![
            route("/", &[], "site"),
            route("/prices", &["GET", "HEAD"], "bei"),
            route("/orders", &[], "agizo-any"),
            route("/orders/", &["POST"], "agizo"),
            orders_lookup,
        ],
        services: indexmap::IndexMap::from([
            ("agizo".to_owned(), bundle::Service::default()),
            ("bei".to_owned(), idempotent),
        ]),
        ..bundle::Bundle::default()
    }
}

fn render(table: &routing::RouteTable, method: &str, path: &str) -> String {
    let found = table.find(method, path);
    let found = found.map_or("none".to_owned(), |found| {
        let prefix = &found.route.path_prefix;
        format!(
            "{} by {prefix} idempotent={}",
            found.service_name, found.idempotent
        )
    });
    format!("{method} {path} -> {found}\n")
}

#[test]
fn longest_segment_prefix_wins_then_the_listed_method() {
    let table = routing::RouteTable::build(&shop_bundle());
    let requests = [
        ("GET", "/"),
        ("GET", "/prices"),
        ("GET", "/prices/12?unit=kg"),
        ("POST", "/prices/12"),
        ("GET", "/pricesheet"),
        ("POST", "/orders"),
        ("GET", "/orders/7"),
        ("GET", "/orders/lookups/7"),
        ("POST", "/orders/lookups/7"),
        ("GET", "//orders//lookups"),
        ("GET", "/orders/%6Cookups"),
        ("GET", "/orders%2Flookups"),
        ("GET", "/orders/lookups/../7"),
        ("GET", "/orders/lookups/%2e%2E/7"),
        ("GET", "/orders/%zz"),
        ("OPTIONS", "*"),
    ];
    let rendered: String = requests
        .iter()
        .map(|(method, path)| render(&table, method, path))
        .collect();
    expect_test::expect![[r"
        GET / -> site by / idempotent=false
        GET /prices -> bei by /prices idempotent=true
        GET /prices/12?unit=kg -> bei by /prices idempotent=true
        POST /prices/12 -> site by / idempotent=false
        GET /pricesheet -> site by / idempotent=false
        POST /orders -> agizo by /orders/ idempotent=false
        GET /orders/7 -> agizo-any by /orders idempotent=false
        GET /orders/lookups/7 -> agizo by /orders/lookups idempotent=true
        POST /orders/lookups/7 -> agizo by /orders/ idempotent=false
        GET //orders//lookups -> agizo by /orders/lookups idempotent=true
        GET /orders/%6Cookups -> agizo by /orders/lookups idempotent=true
        GET /orders%2Flookups -> site by / idempotent=false
        GET /orders/lookups/../7 -> none
        GET /orders/lookups/%2e%2E/7 -> none
        GET /orders/%zz -> agizo-any by /orders idempotent=false
        OPTIONS * -> none
    "]]
    .assert_eq(&rendered);
}

#[test]
fn an_empty_bundle_matches_nothing() {
    let table = routing::RouteTable::build(&bundle::Bundle::default());
    assert_eq!(table.find("GET", "/"), None);
}

/// Finds a route by a linear scan of all routes.
fn naive_find<'a>(
    routes: &'a [bundle::Route],
    method: &str,
    path: &str,
) -> Option<&'a bundle::Route> {
    let segments = |path: &'a str| -> Vec<&'a str> {
        path.split('/')
            .filter(|segment| !segment.is_empty())
            .collect()
    };
    let path: Vec<&str> = path
        .split('/')
        .filter(|segment| !segment.is_empty())
        .collect();
    let mut best: Option<(&bundle::Route, (usize, bool))> = None;
    for route in routes {
        let prefix = segments(&route.path_prefix);
        let lists_method = !route.methods.is_empty();
        let allowed = !lists_method || route.methods.iter().any(|allowed| allowed == method);
        let rank = (prefix.len(), lists_method);
        if allowed && path.starts_with(&prefix) && best.is_none_or(|(_, other)| rank > other) {
            best = Some((route, rank));
        }
    }
    best.map(|(route, _)| route)
}

#[test]
fn lookups_agree_with_a_scan_of_all_routes() {
    let path = "(/[abc]{0,2}){1,5}";
    let methods = proptest::collection::vec("(GET|POST|PUT)", 0..3);
    let routes = (path, methods).prop_map(|(path_prefix, methods)| bundle::Route {
        idempotent: None,
        methods,
        path_prefix,
        service: "service".to_owned(),
    });
    let routes = proptest::collection::vec(routes, 0..40);
    let requests = proptest::collection::vec(("(GET|POST|PUT|HEAD)", path), 1..20);
    let config = test_runner::Config {
        cases: CASES,
        failure_persistence: None,
        rng_seed: test_runner::RngSeed::Fixed(RNG_SEED),
        ..test_runner::Config::default()
    };
    let mut runner = test_runner::TestRunner::new(config);
    let outcome = runner.run(&(routes, requests), |(routes, requests)| {
        let bundle = bundle::Bundle {
            routes,
            ..bundle::Bundle::default()
        };
        let table = routing::RouteTable::build(&bundle);
        for (method, path) in &requests {
            let expected = naive_find(&bundle.routes, method, path);
            let found = table.find(method, path).map(|found| found.route);
            proptest::prop_assert_eq!(found, expected, "{} {}", method, path);
        }
        Ok(())
    });
    outcome.expect("lookups agree with a linear scan");
}
