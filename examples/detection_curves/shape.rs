//! Simulated services.

use foxtailwinch::bundle;

/// A service and the entry VMs that send requests to it.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Time after which a request times out, in milliseconds.
    pub deadline_ms: u64,
    pub false_ejection_weight: f64,
    pub floor_servers: u32,
    /// Load, in permille of the capacity.
    pub load_permille: u32,
    pub name: &'static str,
    pub server_count: usize,
    /// Median time that a healthy server takes for a request, in microseconds.
    pub service_time_us: f64,
    pub slot_count: usize,
    pub vm_count: usize,
}

/// Ratio of the mean service time to the median. The times are log-normal, and a
/// hundredth of the requests take ten times as long.
const MEAN_OVER_MEDIAN: f64 = 1.235;

impl Shape {
    /// Returns Lebo's price lookup service.
    pub fn lebo() -> Self {
        Self {
            deadline_ms: 2_000,
            false_ejection_weight: 0.1,
            floor_servers: 7,
            load_permille: 500,
            name: "lebo",
            server_count: 10,
            service_time_us: 20_000.0,
            slot_count: 6,
            vm_count: 32,
        }
    }

    /// Returns the catalogue service of Tazas, a photo-mug printer.
    pub fn tazas() -> Self {
        Self {
            deadline_ms: 2_000,
            false_ejection_weight: 0.9,
            floor_servers: 7,
            load_permille: 500,
            name: "tazas",
            server_count: 9,
            service_time_us: 40_000.0,
            slot_count: 2,
            vm_count: 32,
        }
    }

    /// Returns the number of requests per second of all callers.
    pub fn arrivals_per_s(&self) -> f64 {
        let slots = to_f64(self.server_count * self.slot_count);
        let capacity_per_s = slots * 1e6 / (self.service_time_us * MEAN_OVER_MEDIAN);
        capacity_per_s * f64::from(self.load_permille) / 1_000.0
    }

    pub fn server_ids(&self) -> Vec<String> {
        (0..self.server_count)
            .map(|index| format!("s{index}"))
            .collect()
    }

    pub fn service(&self) -> bundle::Service {
        let server = bundle::BackendServer {
            address: ([127, 0, 0, 1], 1).into(),
            availability_zone: String::from("a"),
            connection_limit: 330,
            region: String::from("r"),
            slot_count: u32::try_from(self.slot_count).unwrap_or(u32::MAX),
        };
        bundle::Service {
            false_ejection_weight: self.false_ejection_weight,
            floor_servers: self.floor_servers,
            servers: self
                .server_ids()
                .into_iter()
                .map(|server_id| (server_id, server.clone()))
                .collect(),
            ..bundle::Service::default()
        }
    }
}

pub fn to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
