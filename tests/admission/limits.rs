//! Tests of the limits of organisations, priorities and retries.

use foxtailwinch::admission;
use foxtailwinch::bundle;
use foxtailwinch::configs;
use foxtailwinch::verdict;

const SEED: u64 = 20_261_204;

fn limit(rate_per_s: u32, burst_requests: u32, in_flight: u32) -> bundle::OrganisationLimit {
    bundle::OrganisationLimit {
        burst_requests,
        in_flight_requests: in_flight,
        rate_per_s,
    }
}

/// Guards against an organisation that starts more requests than its burst and
/// rate permit, and against a limit shared by organisations.
#[test]
fn organisation_is_limited_to_its_burst_and_rate() {
    let config = configs::admission::AdmissionConfig::default();
    let mut limiter = admission::OrganisationLimiter::new(&config, SEED);
    let limit = limit(100, 20, 1_000);
    let started = (0..1_000_u64)
        .filter(|&now_ms| limiter.try_start(now_ms, "a", &limit).is_ok())
        .count();
    // A burst of 20 requests and 100 requests per second for one second.
    assert!((119..=120).contains(&started), "{started} started");
    assert!(limiter.try_start(1_000, "b", &limit).is_ok());
}

/// Guards against an organisation that uses all slots with slow requests, and
/// against a refusal that does not permit a retry.
#[test]
fn requests_in_flight_are_limited_and_refused_with_verdict_not_run() {
    let config = configs::admission::AdmissionConfig::default();
    let mut limiter = admission::OrganisationLimiter::new(&config, SEED);
    let limit = limit(1_000, 100, 2);
    assert!(limiter.try_start(0, "a", &limit).is_ok());
    assert!(limiter.try_start(0, "a", &limit).is_ok());
    let refusal = limiter
        .try_start(0, "a", &limit)
        .expect_err("two in flight");
    assert_eq!(refusal.reason, verdict::RefusalReason::OrganisationLimit);
    assert_eq!(refusal.verdict, verdict::RunVerdict::NotRun);
    assert!(refusal.retry_after_ms > 0);
    limiter.finish("a");
    assert!(limiter.try_start(0, "a", &limit).is_ok());
}

/// Guards against memory that grows with the number of organisations ever seen.
#[test]
fn idle_organisations_are_evicted_and_memory_is_bounded() {
    let config = configs::admission::AdmissionConfig {
        organisation_count: 1_000,
        ..configs::admission::AdmissionConfig::default()
    };
    let mut limiter = admission::OrganisationLimiter::new(&config, SEED);
    let limit = limit(1, 5, 5);
    for index in 0..610_000_u64 {
        let organisation = format!("organisation-{index}");
        assert!(
            limiter
                .try_start(index / 100, &organisation, &limit)
                .is_ok()
        );
        limiter.finish(&organisation);
        assert!(limiter.organisation_count() <= 1_000);
    }
    let later_ms = 1_000_000;
    for _ in 0..1_000 {
        let _ = limiter.try_start(later_ms, "last", &limit);
    }
    assert_eq!(limiter.organisation_count(), 1);
    assert_eq!(admission::OrganisationLimiter::bytes_per_organisation(), 49);
}

#[test]
fn retries_are_limited_to_a_share_of_first_attempts() {
    let config = configs::admission::AdmissionConfig {
        retry_burst_requests: 10,
        retry_min_per_s: 1,
        ..configs::admission::AdmissionConfig::default()
    };
    let service = bundle::Service {
        retry_budget_percent: 10,
        ..bundle::Service::default()
    };
    let mut budget = admission::RetryBudget::new(&config, &service);
    let mut retries = 0;
    for now_ms in 0..10_000 {
        budget.record_first_attempt(now_ms);
        retries += u32::from(budget.try_retry(now_ms));
    }
    // A burst of 10 retries, a tenth of 10,000 first attempts and one retry per
    // second for 10 seconds.
    assert!((1_000..=1_020).contains(&retries), "{retries} retries");
}

#[test]
fn bulk_requests_are_refused_before_critical_requests() {
    let config = configs::admission::AdmissionConfig {
        bulk_share_percent: 50,
        in_flight_bytes: 1_000,
        in_flight_requests: 10,
        normal_share_percent: 80,
        ..configs::admission::AdmissionConfig::default()
    };
    let mut gate = admission::PriorityGate::new(&config);
    let requests = [
        (bundle::Priority::Bulk, 400),
        (bundle::Priority::Bulk, 200),
        (bundle::Priority::Normal, 400),
        (bundle::Priority::Normal, 100),
        (bundle::Priority::Critical, 200),
        (bundle::Priority::Critical, 1),
    ];
    let rendered = requests.map(|(priority, bytes)| {
        let outcome = gate.try_start(priority, bytes, 100);
        let outcome = outcome.map_or_else(|refusal| refusal.reason.as_str(), |()| "started");
        format!("{priority:?} {bytes}: {outcome}\n")
    });
    expect_test::expect![[r"
        Bulk 400: started
        Bulk 200: service-limit
        Normal 400: started
        Normal 100: service-limit
        Critical 200: started
        Critical 1: service-limit
    "]]
    .assert_eq(&rendered.concat());
    gate.finish(400);
    assert_eq!(
        (gate.in_flight_bytes(), gate.in_flight_requests()),
        (600, 2)
    );
}
