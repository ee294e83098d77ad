//! Size of an operator's system.

use std::net;

use foxtailwinch::bundle;

use crate::shape;

/// Maximum number of connections that a server accepts in total.
const CONNECTION_LIMIT: u32 = 330;

/// Share of the servers that must stay in service despite ejections, in
/// percent.
const FLOOR_PERCENT: u32 = 70;

/// Largest body of an upload, in bytes.
const UPLOAD_BYTES: u64 = 128 * 1_024 * 1_024;

/// Largest body of any other request, in bytes.
const REQUEST_BYTES: u64 = 1_024 * 1_024;

/// Size of an operator's system.
#[derive(Clone, Debug, PartialEq)]
pub struct SystemShape {
    /// One-way delay between a caller and an entry VM, in microseconds.
    pub caller_delay_us: u64,
    /// Number of entry VMs.
    pub entry_vm_count: u32,
    /// Bandwidth between the regions in each direction, in megabits per second.
    pub region_link_mbit_per_s: u32,
    /// One-way delay between the regions, in microseconds.
    pub region_delay_us: u64,
    /// Regions; the platform's store is in the first one.
    pub regions: Vec<shape::RegionShape>,
    /// Services of the system.
    pub services: Vec<shape::ServiceShape>,
    /// One-way delay between the availability zones of a region, in
    /// microseconds.
    pub zone_delay_us: u64,
}

impl SystemShape {
    /// Returns the sizes of Lebo's system.
    #[must_use]
    pub fn lebo() -> Self {
        let lookups = shape::ServiceShape {
            connection_limit: CONNECTION_LIMIT,
            deadline_ms: 1_000,
            false_ejection_weight: 0.2,
            floor_percent: FLOOR_PERCENT,
            idempotent: true,
            max_body_bytes: REQUEST_BYTES,
            mean_work_ms: 10.0,
            name: "bei",
            priority: bundle::Priority::Normal,
            server_count: 10,
            slot_count: 6,
        };
        let orders = shape::ServiceShape {
            deadline_ms: 3_000,
            idempotent: false,
            mean_work_ms: 30.0,
            name: "agizo",
            priority: bundle::Priority::Critical,
            server_count: 15,
            ..lookups.clone()
        };
        let uploads = shape::ServiceShape {
            deadline_ms: 60_000,
            idempotent: false,
            max_body_bytes: UPLOAD_BYTES,
            mean_work_ms: 200.0,
            name: "orodha",
            priority: bundle::Priority::Bulk,
            server_count: 8,
            ..lookups.clone()
        };
        Self {
            caller_delay_us: 1_000,
            entry_vm_count: 32,
            region_delay_us: 30_000,
            region_link_mbit_per_s: 30,
            regions: vec![
                shape::RegionShape {
                    availability_zones: vec!["kariakoo", "mbezi"],
                    name: "pwani",
                },
                shape::RegionShape {
                    availability_zones: vec!["arusha", "moshi"],
                    name: "kaskazini",
                },
            ],
            services: vec![lookups, orders, uploads],
            zone_delay_us: 500,
        }
    }

    /// Returns the sizes of Tazas's system.
    #[must_use]
    pub fn tazas() -> Self {
        let catalogue = shape::ServiceShape {
            connection_limit: CONNECTION_LIMIT,
            deadline_ms: 2_000,
            false_ejection_weight: 0.8,
            floor_percent: FLOOR_PERCENT,
            idempotent: true,
            max_body_bytes: REQUEST_BYTES,
            mean_work_ms: 15.0,
            name: "vitrina",
            priority: bundle::Priority::Normal,
            server_count: 9,
            slot_count: 2,
        };
        let payments = shape::ServiceShape {
            deadline_ms: 5_000,
            idempotent: false,
            mean_work_ms: 50.0,
            name: "caja",
            priority: bundle::Priority::Critical,
            server_count: 12,
            ..catalogue.clone()
        };
        let uploads = shape::ServiceShape {
            deadline_ms: 60_000,
            idempotent: false,
            max_body_bytes: UPLOAD_BYTES,
            mean_work_ms: 250.0,
            name: "revelado",
            priority: bundle::Priority::Bulk,
            server_count: 8,
            ..catalogue.clone()
        };
        Self {
            caller_delay_us: 8_000,
            regions: vec![
                shape::RegionShape {
                    availability_zones: vec!["a", "b"],
                    name: "sierra",
                },
                shape::RegionShape {
                    availability_zones: vec!["a", "b"],
                    name: "costa",
                },
            ],
            services: vec![catalogue, payments, uploads],
            ..Self::lebo()
        }
    }

    /// Returns a bundle whose servers listen on 127.0.0.1, on ports from
    /// `first_port`.
    #[must_use]
    pub fn bundle(&self, scale: f64, first_port: u16) -> bundle::Bundle {
        let servers = self.servers(scale, first_port);
        let services = self.services.iter().map(|service| {
            let service_servers = servers
                .iter()
                .filter(|server| server.service == service.name);
            (
                service.name.to_owned(),
                bundle_service(service, service_servers.collect()),
            )
        });
        bundle::Bundle {
            routes: self.services.iter().map(route).collect(),
            services: services.collect(),
            ..bundle::Bundle::default()
        }
    }

    /// Returns the servers, assigned to the availability zones in turn, with
    /// addresses on 127.0.0.1 and ports from `first_port`.
    #[must_use]
    pub fn servers(&self, scale: f64, first_port: u16) -> Vec<shape::PlacedServer> {
        let zones = self.zones();
        let numbered = self.services.iter().flat_map(|service| {
            let server_count = service.scaled_server_count(scale);
            (0..server_count).map(move |index| (service, index))
        });
        let placed = numbered.zip(first_port..).map(|((service, index), port)| {
            let (region, availability_zone) = zones[index as usize % zones.len()];
            shape::PlacedServer {
                address: net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, port)),
                availability_zone: availability_zone.to_owned(),
                connection_limit: service.connection_limit,
                mean_work_ms: service.mean_work_ms,
                name: format!("{}-{}", service.name, index + 1),
                region: region.to_owned(),
                service: service.name.to_owned(),
                slot_count: service.slot_count,
            }
        });
        placed.collect()
    }

    /// Returns the region and name of each availability zone, with alternating
    /// regions.
    fn zones(&self) -> Vec<(&'static str, &'static str)> {
        let zone_count = self
            .regions
            .iter()
            .map(|region| region.availability_zones.len())
            .max()
            .unwrap_or_default();
        (0..zone_count)
            .flat_map(|index| {
                self.regions.iter().filter_map(move |region| {
                    let availability_zone = region.availability_zones.get(index)?;
                    Some((region.name, *availability_zone))
                })
            })
            .collect()
    }
}

fn bundle_service(
    service: &shape::ServiceShape,
    servers: Vec<&shape::PlacedServer>,
) -> bundle::Service {
    let server_count = u32::try_from(servers.len()).unwrap_or(u32::MAX);
    bundle::Service {
        deadline_ms: service.deadline_ms,
        false_ejection_weight: service.false_ejection_weight,
        floor_servers: service.floor_servers(server_count),
        idempotent: service.idempotent,
        max_body_bytes: service.max_body_bytes,
        priority: service.priority,
        servers: servers.into_iter().map(bundle_server).collect(),
        ..bundle::Service::default()
    }
}

fn bundle_server(server: &shape::PlacedServer) -> (String, bundle::BackendServer) {
    let backend_server = bundle::BackendServer {
        address: server.address,
        availability_zone: server.availability_zone.clone(),
        connection_limit: server.connection_limit,
        region: server.region.clone(),
        slot_count: server.slot_count,
    };
    (server.name.clone(), backend_server)
}

fn route(service: &shape::ServiceShape) -> bundle::Route {
    bundle::Route {
        idempotent: None,
        methods: Vec::new(),
        path_prefix: format!("/{}", service.name),
        service: service.name.to_owned(),
    }
}
