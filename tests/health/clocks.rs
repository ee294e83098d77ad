//! Clocks whose rates are off in opposite directions.

use std::net;

use foxtailwinch::configs;
use foxtailwinch::health;
use foxtailwinch::state_machine::StateMachine as _;

const RATE_ERROR_PPM: u64 = 20_000;
const LEASE_MS: u64 = 2_000;
/// Real time at which the old holder proposes its lease and the new one reads
/// the record.
const PROPOSED_MS: u64 = 10_000;

fn clock_ms(rate_ppm: u64, real_ms: u64) -> u64 {
    real_ms * rate_ppm / 1_000_000
}

/// Creates a decider that knows three servers and has waited since its start.
fn decider(margin_ppm: u64, now_ms: u64) -> health::Decider {
    let config = configs::health::HealthConfig {
        clock_rate_error_ppm: margin_ppm,
        lease_duration_ms: LEASE_MS,
        state_max_age_ms: u64::MAX,
        ..configs::health::HealthConfig::default()
    };
    let mut decider = health::Decider::new(&config);
    decider.handle(0, health::DeciderEvent::Tick);
    let servers = ["s0", "s1", "s2"].map(|server_id| health::ServerState {
        cold: false,
        draining: false,
        server_id: server_id.to_owned(),
    });
    let event = health::DeciderEvent::ServiceChanged {
        floor_servers: 2,
        servers: servers.to_vec(),
        states_requested_ms: now_ms,
    };
    decider.handle(now_ms, event);
    decider
}

/// Returns the real time at which the requester's last ejection granted by the
/// old decider ends, and the first real time at which the new decider may
/// grant.
fn measure_handover(margin_ppm: u64, old_ppm: u64, requester_ppm: u64, new_ppm: u64) -> (u64, u64) {
    let margin = health::ClockMargin::new(margin_ppm);
    let mut old = decider(margin_ppm, clock_ms(old_ppm, PROPOSED_MS));
    let until_ms = clock_ms(old_ppm, PROPOSED_MS) + margin.shorten(LEASE_MS);
    old.handle(
        clock_ms(old_ppm, PROPOSED_MS),
        health::DeciderEvent::LeaseHeld { term: 1, until_ms },
    );
    let mut new = decider(margin_ppm, clock_ms(new_ppm, PROPOSED_MS));
    let read_ms = clock_ms(new_ppm, PROPOSED_MS);
    let at_ms = read_ms + margin.lengthen(LEASE_MS);
    new.handle(read_ms, health::DeciderEvent::PreviousLeaseEnds { at_ms });
    let held = health::DeciderEvent::LeaseHeld {
        term: 2,
        until_ms: u64::MAX,
    };
    new.handle(read_ms, held);
    let mut holder = health::EjectionHolder::new();
    let (mut last_ejected_ms, mut first_active_ms) = (0, None);
    for real_ms in PROPOSED_MS..PROPOSED_MS + 2 * LEASE_MS {
        let requester_ms = clock_ms(requester_ppm, real_ms);
        let event = health::DeciderEvent::Request {
            request: holder.request(requester_ms, health::Evidence::default(), "s0"),
            from: net::SocketAddr::from(([127, 0, 0, 1], 1)),
            message_id: 1,
        };
        for action in old.handle(clock_ms(old_ppm, real_ms), event) {
            if let health::DeciderAction::Respond { response, .. } = action {
                holder.handle(requester_ms, health::HolderEvent::Response(response));
            }
        }
        if holder.ejected(requester_ms).next().is_some() {
            last_ejected_ms = real_ms;
        }
        if new.is_active(clock_ms(new_ppm, real_ms)) {
            first_active_ms.get_or_insert(real_ms);
        }
    }
    (last_ejected_ms, first_active_ms.unwrap())
}

/// Returns the combinations of clock rates for which ejections of both deciders
/// overlap.
fn overlaps(margin_ppm: u64) -> Vec<(u64, u64, u64)> {
    let rates = [
        1_000_000 - RATE_ERROR_PPM,
        1_000_000,
        1_000_000 + RATE_ERROR_PPM,
    ];
    let mut overlaps = Vec::new();
    for old_ppm in rates {
        for requester_ppm in rates {
            for new_ppm in rates {
                let (last_ms, first_ms) =
                    measure_handover(margin_ppm, old_ppm, requester_ppm, new_ppm);
                if last_ms >= first_ms {
                    overlaps.push((old_ppm, requester_ppm, new_ppm));
                }
            }
        }
    }
    overlaps
}

/// Guards against two deciders that grant at the same time, and so together
/// eject more than the floor allows, because their clocks run at different
/// rates.
#[test]
fn ejections_of_two_deciders_never_overlap_under_clock_drift() {
    assert_eq!(overlaps(RATE_ERROR_PPM), []);
}

/// Without a margin for the rate error, some clock rates must show the overlap.
#[test]
fn zero_clock_margin_is_caught() {
    assert!(!overlaps(0).is_empty());
}
