//! Tables of the results of a replay.

use std::fmt::Write as _;

use crate::replay;
use crate::replay::service_figures;

/// Returns a table with a row for each policy and service.
#[must_use]
pub fn table(figures: &[replay::Figures]) -> String {
    let mut text = format!(
        "{:<16} {:<10} {:>7} {:>6} {:>6} {:>7} {:>6} {:>6} {:>7} {:>7} {:>6} {:>5} {:>8}\n",
        "policy",
        "service",
        "asked",
        "good",
        "late",
        "refused",
        "failed",
        "worst",
        "retries",
        "probes",
        "far",
        "idle",
        "held ms"
    );
    for policy in figures {
        for service in &policy.services {
            let total = service.total();
            let share_of_requests = |count| service_figures::share(count, total.request_count);
            let held_ms = service.held_ms.checked_div(total.refused_count);
            let _ = writeln!(
                text,
                "{:<16} {:<10} {:>7} {:>6.3} {:>6.3} {:>7.3} {:>6.3} {:>6.2} {:>7.3} {:>7.3} {:>6.3} \
                 {:>5.2} {:>8}",
                policy.policy,
                service.name,
                total.request_count,
                share_of_requests(total.on_time_count()),
                share_of_requests(total.late_count),
                share_of_requests(total.refused_count),
                share_of_requests(total.failed_count),
                service.worst_on_time_share(),
                share_of_requests(service.retry_count),
                share_of_requests(service.probe_count),
                service_figures::share(service.cross_region_count, service.attempt_count),
                service.worst_idle_share,
                held_ms.unwrap_or(0),
            );
        }
    }
    text
}

/// Returns CSV with a line for each policy, service and two-second window.
#[must_use]
pub fn csv(figures: &[replay::Figures]) -> String {
    let mut text = String::from("policy,service,second,asked,good,late,refused,failed\n");
    for policy in figures {
        for service in &policy.services {
            for (index, window) in service.windows.iter().enumerate() {
                let _ = writeln!(
                    text,
                    "{},{},{},{},{},{},{},{}",
                    policy.policy,
                    service.name,
                    index * 2,
                    window.request_count,
                    window.on_time_count(),
                    window.late_count,
                    window.refused_count,
                    window.failed_count,
                );
            }
        }
    }
    text
}
