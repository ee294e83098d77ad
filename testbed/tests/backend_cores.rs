//! Tests of the backend server's parts without sockets.

use expect_test::expect;
use testbed::backend;

#[test]
fn service_times_have_the_configured_mean() {
    let mut service_time = backend::ServiceTime::new(10.0, 0, 7);
    let samples = 100_000_u32;
    let sum_ms: f64 = (0..samples).map(|_| service_time.sample_ms(0)).sum();
    let mean_ms = sum_ms / f64::from(samples);
    assert!((mean_ms - 10.0).abs() < 0.2, "{mean_ms}");
}

#[test]
fn service_times_are_determined_by_the_seed() {
    let samples = |seed| {
        let mut service_time = backend::ServiceTime::new(10.0, 0, seed);
        [(); 4].map(|()| service_time.sample_ms(0).to_bits())
    };
    assert_eq!(samples(1), samples(1));
    assert_ne!(samples(1), samples(2));
}

#[test]
fn service_time_decreases_to_normal_during_the_cold_start() {
    let sample = |uptime_ms| backend::ServiceTime::new(10.0, 1_000, 1).sample_ms(uptime_ms);
    let warm_ms = sample(1_000);
    let factors =
        [0, 500, 999, 5_000].map(|uptime_ms| format!("{:.3}", sample(uptime_ms) / warm_ms));
    expect!["5.000 3.000 1.004 1.000"].assert_eq(&factors.join(" "));
}

#[test]
fn flapping_server_is_slow_in_the_second_half_of_each_period() {
    let mode = backend::GrayMode::parse(br#"{"mode":"flapping","period_ms":100,"factor":4}"#)
        .expect("a mode");
    let factors = [0, 49, 50, 99, 100, 150].map(|now_ms| mode.work_factor(now_ms).to_string());
    expect!["1 1 4 4 1 4"].assert_eq(&factors.join(" "));
}

#[test]
fn reported_load_is_updated_once_per_interval() {
    let mut reported = backend::ReportedLoad::new(100);
    let observed = [(0, 1), (50, 5), (100, 6), (199, 2), (200, 3)];
    let reports = observed.map(|(now_ms, in_flight)| reported.report(now_ms, in_flight));
    assert_eq!(reports, [1, 1, 6, 6, 3]);
}
