//! Settings of the daemon.

use std::fs;
use std::net;

use crate::configs;
use crate::configs::settings_error;
use crate::configs::yaml;
use snafu::ResultExt as _;

/// Settings of the daemon, read from a YAML file at start.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct DaemonConfig {
    /// Settings of admission control.
    #[serde(default)]
    pub admission: configs::AdmissionConfig,
    /// Availability zone of this VM.
    pub availability_zone: String,
    /// Settings of load balancing.
    #[serde(default)]
    pub balancing: configs::BalancingConfig,
    /// IP address and port that callers connect to.
    pub caller_address: net::SocketAddr,
    /// Maximum time between two chunks of a request body from a caller, in
    /// milliseconds.
    #[serde(default = "default_caller_idle_ms")]
    pub caller_idle_ms: u64,
    /// Settings of the checkpoint scheduler.
    #[serde(default)]
    pub checkpoint: configs::CheckpointConfig,
    /// Settings of at-most-once execution.
    #[serde(default)]
    pub claims: configs::ClaimsConfig,
    /// Settings of the fold over the configuration stream.
    #[serde(default)]
    pub config_fold: configs::ConfigFoldConfig,
    /// Time for which callers may cache an entry-point response, in
    /// milliseconds.
    #[serde(default = "default_entry_point_lifetime_ms")]
    pub entry_point_lifetime_ms: u64,
    /// Settings of gray-failure detection, ejection and quarantine.
    #[serde(default)]
    pub health: configs::HealthConfig,
    /// Maximum time for which a graceful shutdown waits for requests in flight,
    /// in milliseconds, counted from the end of the entry-point lifetime.
    #[serde(default = "default_leave_timeout_ms")]
    pub leave_timeout_ms: u64,
    /// Settings of the client of the log service.
    #[serde(default)]
    pub log_client: configs::LogClientConfig,
    /// IP address and port of the platform's log service and VM list.
    pub log_service_address: net::SocketAddr,
    /// Least severe level that is logged: `error`, `warn`, `info` or `debug`.
    #[serde(default = "default_log_level")]
    pub log_level: String,
    /// Maximum number of headers of a request.
    #[serde(default = "default_max_header_count")]
    pub max_header_count: usize,
    /// Settings of membership.
    #[serde(default)]
    pub membership: configs::MembershipConfig,
    /// IP address and port that operators and their command-line tool connect
    /// to.
    pub operator_address: net::SocketAddr,
    /// IP address and port that other entry VMs connect to.
    pub peer_address: net::SocketAddr,
    /// Region of this VM.
    pub region: String,
    /// Settings of the replication of configuration records between VMs.
    #[serde(default)]
    pub spread: configs::ReplicationConfig,
    /// Address of the `StatsD` sink. With `None`, counters are available only
    /// on the operator port.
    #[serde(default)]
    pub statsd_address: Option<net::SocketAddr>,
    /// Number of threads that process requests.
    #[serde(default = "default_traffic_thread_count")]
    pub traffic_thread_count: usize,
    /// Deadline of a keyed request that another VM runs and whose service this
    /// VM does not know, in milliseconds.
    #[serde(default = "default_unknown_service_deadline_ms")]
    pub unknown_service_deadline_ms: u64,
    /// Name of this VM in the VM list.
    pub vm_id: String,
}

impl DaemonConfig {
    /// Reads and checks the settings file at `path`.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file, line and field, and the expected
    /// value.
    pub fn load(path: &str) -> Result<Self, configs::SettingsError> {
        let text = fs::read_to_string(path).context(settings_error::ReadSnafu { path })?;
        Self::parse(path, &text)
    }

    /// Parses and checks settings. `path` is used in error messages only.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file, line and field, and the expected
    /// value.
    pub fn parse(path: &str, text: &str) -> Result<Self, configs::SettingsError> {
        let settings: Self = yaml::parse(path, text)?;
        settings.check(path, text)?;
        Ok(settings)
    }

    fn check(&self, path: &str, text: &str) -> Result<(), configs::SettingsError> {
        let refuse = |field: &str, expected: &str, found: &str| {
            settings_error::FieldSnafu {
                expected,
                field,
                found,
                line: yaml::line_of(text, field),
                path,
            }
            .fail()
        };
        let names = [
            ("availability_zone", &self.availability_zone),
            ("region", &self.region),
            ("vm_id", &self.vm_id),
        ];
        for (field, name) in names {
            if name.trim().is_empty() {
                return refuse(field, "a name that is not empty", "an empty name");
            }
        }
        let addresses = [
            ("caller_address", self.caller_address),
            ("log_service_address", self.log_service_address),
            ("operator_address", self.operator_address),
            ("peer_address", self.peer_address),
        ];
        for (field, address) in addresses {
            if address.ip().is_unspecified() || address.port() == 0 {
                let expected = "an IP address that others can reach, and a port above 0";
                return refuse(field, expected, &address.to_string());
            }
        }
        if self.log_level.parse::<log::LevelFilter>().is_err() {
            let expected = "one of error, warn, info, debug";
            return refuse("log_level", expected, &self.log_level);
        }
        if self.claims.prefix_lifetime_ms < self.entry_point_lifetime_ms {
            let expected = "at least entry_point_lifetime_ms";
            let found = self.claims.prefix_lifetime_ms.to_string();
            return refuse("claims.prefix_lifetime_ms", expected, &found);
        }
        if self.membership.probe_period_ms <= self.membership.ping_timeout_ms {
            let expected = "more than membership.ping_timeout_ms";
            let found = self.membership.probe_period_ms.to_string();
            return refuse("membership.probe_period_ms", expected, &found);
        }
        if self.traffic_thread_count == 0 {
            return refuse("traffic_thread_count", "1 or more", "0");
        }
        Ok(())
    }
}

const fn default_caller_idle_ms() -> u64 {
    10_000
}

const fn default_entry_point_lifetime_ms() -> u64 {
    30_000
}

const fn default_leave_timeout_ms() -> u64 {
    60_000
}

fn default_log_level() -> String {
    "info".to_owned()
}

const fn default_max_header_count() -> usize {
    100
}

const fn default_unknown_service_deadline_ms() -> u64 {
    10_000
}

const fn default_traffic_thread_count() -> usize {
    2
}
