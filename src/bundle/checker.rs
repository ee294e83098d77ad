//! Consistency checks of a parsed bundle.

use std::net;

use crate::bundle;

/// Maximum deadline of a service, in milliseconds.
const DEADLINE_MAX_MS: u64 = 600_000;

/// Returns the problems of `bundle`; empty if the bundle is valid.
#[must_use]
pub fn check(bundle: &bundle::Bundle) -> Vec<bundle::Problem> {
    let mut checker = Checker::default();
    checker.check_services(bundle);
    checker.check_routes(bundle);
    checker.check_limits(bundle);
    checker.problems
}

#[derive(Default)]
struct Checker {
    addresses: indexmap::IndexMap<net::SocketAddr, String>,
    problems: Vec<bundle::Problem>,
}

impl Checker {
    fn check_services(&mut self, bundle: &bundle::Bundle) {
        if bundle.services.is_empty() {
            let kind = bundle::ProblemKind::NoService;
            self.report(kind, "services", "no service", "at least one service");
        }
        for (name, service) in &bundle.services {
            let field = format!("services.{name}");
            self.check_name(&field, name);
            self.check_service(&field, service);
            for (id, server) in &service.servers {
                self.check_server(&format!("{field}.servers.{id}"), id, server);
            }
        }
    }

    fn check_service(&mut self, field: &str, service: &bundle::Service) {
        let server_count = service.servers.len();
        if server_count == 0 {
            let field = format!("{field}.servers");
            let kind = bundle::ProblemKind::NoServer;
            self.report(kind, &field, "no server", "at least one server");
        } else if service.floor_servers as usize > server_count {
            self.report(
                bundle::ProblemKind::FloorAboveServers,
                &format!("{field}.floor_servers"),
                &service.floor_servers.to_string(),
                &format!("at most {server_count}, the number of servers"),
            );
        }
        if !(1..=DEADLINE_MAX_MS).contains(&service.deadline_ms) {
            let field = format!("{field}.deadline_ms");
            let expected = format!("1 to {DEADLINE_MAX_MS}");
            self.report_out_of_range(&field, &service.deadline_ms.to_string(), &expected);
        }
        if !(0.0..=1.0).contains(&service.false_ejection_weight) {
            let field = format!("{field}.false_ejection_weight");
            let found = service.false_ejection_weight.to_string();
            self.report_out_of_range(&field, &found, "0.0 to 1.0");
        }
        if service.retry_budget_percent > 100 {
            let field = format!("{field}.retry_budget_percent");
            self.report_out_of_range(
                &field,
                &service.retry_budget_percent.to_string(),
                "0 to 100",
            );
        }
    }

    fn check_server(&mut self, field: &str, id: &str, server: &bundle::BackendServer) {
        self.check_name(field, id);
        self.check_name(&format!("{field}.region"), &server.region);
        let zone = &server.availability_zone;
        self.check_name(&format!("{field}.availability_zone"), zone);
        self.check_positive(&format!("{field}.slot_count"), server.slot_count);
        let limit = server.connection_limit;
        self.check_positive(&format!("{field}.connection_limit"), limit);
        if server.address.port() == 0 || server.address.ip().is_unspecified() {
            let field = format!("{field}.address");
            let found = server.address.to_string();
            self.report_out_of_range(&field, &found, "an address and port to connect to");
        }
        if let Some(other) = self.addresses.insert(server.address, field.to_owned()) {
            self.report(
                bundle::ProblemKind::AddressTwice,
                &format!("{field}.address"),
                &format!("{}, already used by {other}", server.address),
                "an address that no other server uses",
            );
        }
    }

    fn check_routes(&mut self, bundle: &bundle::Bundle) {
        let mut seen = indexmap::IndexMap::new();
        for (index, route) in bundle.routes.iter().enumerate() {
            let field = format!("routes[{index}]");
            self.check_path_prefix(&field, &route.path_prefix);
            if !bundle.services.contains_key(&route.service) {
                self.report(
                    bundle::ProblemKind::UnknownService,
                    &format!("{field}.service"),
                    &format!("`{}`", route.service),
                    "the name of a service in this bundle",
                );
            }
            for method in route_methods(route) {
                self.check_method(&field, method);
                if let Some(other) = seen.insert((route.path_prefix.as_str(), method), index) {
                    self.report(
                        bundle::ProblemKind::RouteTwice,
                        &field,
                        &format!(
                            "{method} {}, already matched by routes[{other}]",
                            route.path_prefix
                        ),
                        "one route for each method and path prefix",
                    );
                }
            }
        }
    }

    fn check_path_prefix(&mut self, field: &str, prefix: &str) {
        let is_valid = prefix.starts_with('/')
            && !prefix.contains("//")
            && (prefix == "/" || !prefix.ends_with('/'))
            && prefix.bytes().all(|byte| byte.is_ascii_graphic())
            && !prefix.contains(['?', '#']);
        if !is_valid {
            self.report(
                bundle::ProblemKind::BadPathPrefix,
                &format!("{field}.path_prefix"),
                &format!("`{prefix}`"),
                "`/` or complete segments such as `/orders/new`, without a query or a trailing `/`",
            );
        }
    }

    fn check_method(&mut self, field: &str, method: &str) {
        let is_valid = method == "*"
            || (!method.is_empty() && method.bytes().all(|byte| byte.is_ascii_uppercase()));
        if !is_valid {
            self.report(
                bundle::ProblemKind::BadMethod,
                &format!("{field}.methods"),
                &format!("`{method}`"),
                "a method in upper case such as `GET`",
            );
        }
    }

    fn check_limits(&mut self, bundle: &bundle::Bundle) {
        let default = &bundle.default_organisation_limit;
        self.check_limit("default_organisation_limit", default);
        for (name, limit) in &bundle.organisation_limits {
            let field = format!("organisation_limits.{name}");
            self.check_name(&field, name);
            self.check_limit(&field, limit);
        }
    }

    fn check_limit(&mut self, field: &str, limit: &bundle::OrganisationLimit) {
        let in_flight = limit.in_flight_requests;
        self.check_positive(&format!("{field}.in_flight_requests"), in_flight);
        self.check_positive(&format!("{field}.rate_per_s"), limit.rate_per_s);
    }

    fn check_name(&mut self, field: &str, name: &str) {
        if name.is_empty() || !name.bytes().all(|byte| byte.is_ascii_graphic()) {
            self.report(
                bundle::ProblemKind::BadName,
                field,
                &format!("`{name}`"),
                "a name of printable ASCII characters without spaces",
            );
        }
    }

    fn check_positive(&mut self, field: &str, value: u32) {
        if value == 0 {
            self.report_out_of_range(field, "0", "at least 1");
        }
    }

    fn report_out_of_range(&mut self, field: &str, found: &str, expected: &str) {
        self.report(bundle::ProblemKind::OutOfRange, field, found, expected);
    }

    fn report(&mut self, kind: bundle::ProblemKind, field: &str, found: &str, expected: &str) {
        self.problems.push(bundle::Problem {
            expected: expected.to_owned(),
            field: field.to_owned(),
            found: found.to_owned(),
            kind,
        });
    }
}

fn route_methods(route: &bundle::Route) -> Vec<&str> {
    if route.methods.is_empty() {
        return vec!["*"];
    }
    route.methods.iter().map(String::as_str).collect()
}
