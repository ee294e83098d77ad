//! Share of servers that received no request while many requests failed.

use crate::replay;

/// Length of a window, in milliseconds. The contract measures the use of servers
/// over two seconds.
const WINDOW_MS: u64 = 2_000;
/// Time between the starts of two successive windows, in milliseconds.
const STEP_MS: usize = 500;

/// Returns the largest share of a service's servers that received no request
/// within a window of two seconds.
///
/// Considers only windows in which more than a tenth and less than half of the
/// service's requests failed or were refused. `arrivals_ms` holds the sorted
/// arrival times of each server.
pub(super) fn worst(arrivals_ms: &[&[u64]], windows: &[replay::Window], end_ms: u64) -> f64 {
    let mut worst_idle_share = 0.0_f64;
    for from_ms in (0..end_ms.saturating_sub(WINDOW_MS)).step_by(STEP_MS) {
        let window_index = usize::try_from(from_ms / WINDOW_MS).unwrap_or(usize::MAX);
        let Some(window) = windows.get(window_index) else {
            continue;
        };
        let unserved_count = window.failed_count + window.refused_count;
        if unserved_count * 10 <= window.request_count || unserved_count * 2 >= window.request_count
        {
            continue;
        }
        let idle = arrivals_ms.iter().filter(|times_ms| {
            let first = times_ms.partition_point(|at_ms| *at_ms < from_ms);
            let next_ms = times_ms.get(first);
            next_ms.is_none_or(|at_ms| *at_ms >= from_ms + WINDOW_MS)
        });
        #[expect(clippy::cast_precision_loss, reason = "some hundred servers")]
        let share = idle.count() as f64 / arrivals_ms.len().max(1) as f64;
        worst_idle_share = worst_idle_share.max(share);
    }
    worst_idle_share
}
