//! Settings of the gateway: the request path in front of registered servers.

use std::fs;
use std::time;

use snafu::ResultExt as _;

use crate::configs;
use crate::configs::settings_error;
use crate::configs::yaml;

/// Settings of the gateway.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct GatewayConfig {
    /// Maximum size of a body that is buffered completely before it is
    /// forwarded, in bytes.
    pub buffered_body_limit_bytes: usize,
    /// Timeout for connecting to a server in another region, in milliseconds.
    pub connect_timeout_far_ms: u64,
    /// Timeout for connecting to a server in the own region, in milliseconds.
    pub connect_timeout_near_ms: u64,
    /// Time for which callers may cache an entry-point response, in seconds.
    pub entry_point_lifetime_s: u64,
    /// Minimum number of entry VMs in an entry-point response.
    pub entry_vm_min_count: usize,
    /// Share of a zone's entry VMs in an entry-point response to callers of the
    /// zone, in percent.
    pub entry_vm_share_percent: usize,
    /// Cost of distance in the choice of a server.
    pub distance: DistanceConfig,
    /// Maximum time for which a connection to a server stays idle, in
    /// milliseconds.
    pub idle_connection_max_ms: u64,
    /// Time by which an idle connection is closed before the server's own idle
    /// timeout, in milliseconds.
    pub idle_connection_margin_ms: u64,
    /// Interval between keep-alive probes on connections, in milliseconds.
    pub keepalive_ms: u64,
    /// Interval between load reports to the other VMs of the region, in
    /// milliseconds.
    pub load_report_interval_ms: u64,
    /// Interval between announcements of this VM's configuration version and
    /// registry offset to peers, in milliseconds.
    pub news_interval_ms: u64,
    /// Number of VMs that receive each announcement.
    pub news_fanout_count: usize,
    /// Share of the contract's retry slack that is distributed to the entry
    /// VMs, in percent.
    pub retry_slack_percent: u64,
    /// Time within which the store must begin its response to a call, not counting
    /// `store_wait_ms`, and send each further part of it, in milliseconds.
    pub store_call_timeout_ms: u64,
    /// Delay between two reads of a feed by one VM, in milliseconds.
    pub store_read_interval_ms: u64,
    /// Number of entry VMs in each region that read changes from the store.
    pub store_readers_per_region: usize,
    /// Age of a VM's last update of the registry or configuration at which the
    /// VM reads the store itself, in milliseconds.
    pub store_stale_ms: u64,
    /// Maximum time that one read of the store takes, in milliseconds, not counting
    /// `store_wait_ms`.
    pub store_transfer_timeout_ms: u64,
    /// Maximum time for which one read of the store waits for a change, in
    /// milliseconds.
    pub store_wait_ms: u64,
    /// Use of servers that would otherwise get no requests because of
    /// suspicion.
    pub server_use: ServerUseConfig,
    /// Time after which a connection is closed if sent bytes stay
    /// unacknowledged, in milliseconds.
    pub unacknowledged_timeout_ms: u64,
    /// Suspicion of failing servers.
    pub suspicion: SuspicionConfig,
    /// Requests that wait at the VM for a free slot of a server.
    pub waiting: WaitingConfig,
}

/// Settings of requests that wait at the VM for a free slot of a server. They wait only
/// where the configuration names organisations, whose shares an order has to keep. Where
/// time limits are near the age of a load report, callers that wait are served less often.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct WaitingConfig {
    /// Maximum number of requests that wait, for each service.
    pub queue_limit_requests: u32,
}

impl Default for WaitingConfig {
    fn default() -> Self {
        Self {
            queue_limit_requests: 64,
        }
    }
}

/// Settings of the suspicion of failing servers.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct SuspicionConfig {
    /// Share of requests that a failing server is assumed to fail.
    pub bad_failure_share: f64,
    /// Time constant of the exponential decay of evidence about a server, in
    /// milliseconds: after this time its weight has fallen to about a third.
    pub change_time_ms: f64,
    /// Share of requests that a healthy server is assumed to fail.
    pub good_failure_share: f64,
    /// Lower bound of the probability that a server is failing, and of the
    /// probability that it is healthy, regardless of the amount of evidence.
    pub least_probability: f64,
    /// Multiple of the service's mean run time above which a response counts as
    /// slow, and a request without a response counts as failed.
    pub slow_factor: f64,
    /// Likelihood ratio of a slow response: how many times more likely it is
    /// from a failing server than from a healthy one.
    pub slow_ratio: f64,
    /// Probability that a server without any evidence is failing.
    pub unknown_probability: f64,
}

/// Cost of distance in the choice of a server, in units of server load: 1
/// equals the load of a server whose slots are all in use.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct DistanceConfig {
    /// Cost of a server in another region, for a request of a few kilobytes.
    pub region_cost: f64,
    /// Cost of a server in another region, for a request whose body or response is
    /// large. It is high because all traffic between two regions shares one link: large
    /// transfers delay the small requests and the messages of the entry VMs on it.
    pub upload_region_cost: f64,
    /// Cost of a server in another zone, for a request whose body or response is
    /// large.
    pub upload_zone_cost: f64,
    /// Cost of a server in another zone, for a request of a few kilobytes.
    pub zone_cost: f64,
}

impl Default for DistanceConfig {
    fn default() -> Self {
        Self {
            region_cost: 1.2,
            upload_region_cost: 3.0,
            upload_zone_cost: 0.6,
            zone_cost: 0.3,
        }
    }
}

/// Settings of the use of servers that would otherwise get no requests because
/// of suspicion. The contract requires that, while many requests of a service
/// fail, a minimum share of its servers gets requests in any two seconds.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServerUseConfig {
    /// Time without a request after which a server counts as unused, in
    /// milliseconds.
    pub max_unused_ms: u64,
    /// Range of random variation of `max_unused_ms`, so that VMs do not all
    /// choose the same server at once, in milliseconds.
    pub max_unused_spread_ms: u64,
    /// Share of a service's servers that is kept in use in addition to the
    /// contract's minimum share, in percent.
    pub share_margin_percent: u64,
    /// Share of failed requests of a service above which all of its servers are
    /// kept in use, in percent.
    pub trouble_percent: u64,
}

impl Default for ServerUseConfig {
    fn default() -> Self {
        Self {
            max_unused_ms: 1_500, // the contract requires use within any 2 s
            max_unused_spread_ms: 300,
            share_margin_percent: 5,
            trouble_percent: 8, // the contract's rule applies from 10 % on
        }
    }
}

impl Default for GatewayConfig {
    fn default() -> Self {
        Self {
            buffered_body_limit_bytes: 1 << 20,
            connect_timeout_far_ms: 500,
            connect_timeout_near_ms: 250,
            entry_point_lifetime_s: 3,
            entry_vm_min_count: 3,
            entry_vm_share_percent: 20,
            distance: DistanceConfig::default(),
            idle_connection_margin_ms: 1_500,
            idle_connection_max_ms: 30_000,
            keepalive_ms: 1_500,
            load_report_interval_ms: 150,
            news_fanout_count: 2,
            news_interval_ms: 300,
            retry_slack_percent: 50,
            server_use: ServerUseConfig::default(),
            store_call_timeout_ms: 800,
            store_read_interval_ms: 300,
            store_readers_per_region: 2,
            store_stale_ms: 2_000,
            store_transfer_timeout_ms: 5_000,
            store_wait_ms: 1_000,
            suspicion: SuspicionConfig::default(),
            unacknowledged_timeout_ms: 6_000,
            waiting: WaitingConfig::default(),
        }
    }
}

impl Default for SuspicionConfig {
    fn default() -> Self {
        Self {
            bad_failure_share: 0.7,
            change_time_ms: 6_000.0, // gray failures last several seconds
            good_failure_share: 0.015,
            least_probability: 0.01,
            slow_factor: 4.0, // exceeded by 1 in 100 runs of a healthy server
            slow_ratio: 4.0,
            unknown_probability: 0.15,
        }
    }
}

impl GatewayConfig {
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
        let positive = [
            ("entry_point_lifetime_s", settings.entry_point_lifetime_s),
            ("keepalive_ms", settings.keepalive_ms),
            ("load_report_interval_ms", settings.load_report_interval_ms),
            ("news_interval_ms", settings.news_interval_ms),
            ("store_read_interval_ms", settings.store_read_interval_ms),
            ("store_call_timeout_ms", settings.store_call_timeout_ms),
            (
                "store_transfer_timeout_ms",
                settings.store_transfer_timeout_ms,
            ),
        ];
        let percent = [
            (
                "entry_vm_share_percent",
                settings.entry_vm_share_percent as u64,
            ),
            ("retry_slack_percent", settings.retry_slack_percent),
        ];
        let refuse = |field: &str, expected: &str, found: u64| {
            settings_error::FieldSnafu {
                expected,
                field,
                found: found.to_string(),
                line: yaml::line_of(text, field),
                path,
            }
            .fail()
        };
        if let Some((field, found)) = positive.iter().find(|(_, value)| *value == 0) {
            return refuse(field, "a number above 0", *found);
        }
        if let Some((field, found)) = percent.iter().find(|(_, value)| *value > 100) {
            return refuse(field, "a percentage, 0 to 100", *found);
        }
        Ok(settings)
    }

    /// Returns the maximum time for which one read of the store waits for a
    /// change.
    #[must_use]
    pub const fn store_wait(&self) -> time::Duration {
        time::Duration::from_millis(self.store_wait_ms)
    }

    /// Returns the maximum time that one read of the store takes, not counting its
    /// wait for a change.
    #[must_use]
    pub const fn store_transfer_timeout(&self) -> time::Duration {
        time::Duration::from_millis(self.store_transfer_timeout_ms)
    }

    /// Returns the time within which the store must begin its response to a call, not
    /// counting its wait for a change, and send each further part of it.
    #[must_use]
    pub const fn store_call_timeout(&self) -> time::Duration {
        time::Duration::from_millis(self.store_call_timeout_ms)
    }
}
