//! Texts of generated bundles.

use std::fmt::Write as _;

/// Backend servers per service: 200,000 servers in 3,600 services.
const SERVERS_PER_SERVICE: usize = 55;
/// Backend servers per route: 200,000 servers and 44,000 routes.
const SERVERS_PER_ROUTE: usize = 5;

/// Returns a bundle with `server_count` backend servers and proportionate
/// numbers of services and routes.
#[must_use]
pub fn with_servers(server_count: usize) -> String {
    let mut text = "services:\n".to_owned();
    let service_count = server_count.div_ceil(SERVERS_PER_SERVICE).max(1);
    for service in 0..service_count {
        let _ = writeln!(
            text,
            "  service-{service}:\n    floor_servers: 1\n    servers:"
        );
        let first = service * SERVERS_PER_SERVICE;
        let last = server_count.min(first + SERVERS_PER_SERVICE);
        for server in first..last {
            write_server(&mut text, server);
        }
    }
    text.push_str("routes:\n");
    for route in 0..server_count.div_ceil(SERVERS_PER_ROUTE) {
        let service = route % service_count;
        let _ = writeln!(
            text,
            "  - {{path_prefix: /area-{}/route-{route}, service: service-{service}}}",
            route % 100
        );
    }
    text
}

/// Returns a bundle with one backend server and the limits of
/// `organisation_count` organisations.
#[must_use]
pub fn with_organisation_limits(organisation_count: usize) -> String {
    let mut text = with_servers(1);
    text.push_str("organisation_limits:\n");
    for organisation in 0..organisation_count {
        let _ = writeln!(
            text,
            "  organisation-{organisation}: {{burst_requests: 100, rate_per_s: 50}}"
        );
    }
    text
}

fn write_server(text: &mut String, server: usize) {
    let (high, low) = (server / 250 % 250, server % 250);
    let _ = writeln!(
        text,
        "      server-{server}: {{address: 10.{}.{high}.{low}:8080, \
         availability_zone: kariakoo, region: pwani, slot_count: 6}}",
        server / 62_500
    );
}
