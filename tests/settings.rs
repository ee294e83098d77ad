//! Parsing of the daemon's settings file: errors and default values.

use expect_test::expect;
use foxtailwinch::configs;

/// Settings file with only the required fields.
const MINIMAL: &str = "\
availability_zone: kariakoo
caller_address: 10.0.0.1:8080
log_service_address: 10.0.9.1:9000
operator_address: 10.0.0.1:8081
peer_address: 10.0.0.1:8082
region: pwani
vm_id: vm-1
";

/// Returns the error for the minimal file with `from` replaced by `to`.
fn error_for_replacement(from: &str, to: &str) -> String {
    let text = MINIMAL.replace(from, to);
    assert_ne!(text, MINIMAL, "`{from}` is not in the file");
    match configs::DaemonConfig::parse("vm.yaml", &text) {
        Ok(_) => "accepted".to_owned(),
        Err(error) => error.to_string(),
    }
}

/// Returns the error for the minimal file with a line added.
fn error_for_added_line(line: &str) -> String {
    error_for_replacement("vm_id: vm-1\n", &format!("vm_id: vm-1\n{line}\n"))
}

#[test]
fn minimal_file_gets_default_settings() {
    let settings = configs::DaemonConfig::parse("vm.yaml", MINIMAL).expect("valid settings");
    let fields = serde_json::to_value(&settings).expect("settings are plain data");
    let fields = fields.as_object().expect("a map").iter();
    let lines: Vec<String> = fields
        .map(|(name, value)| format!("{name}: {value}"))
        .collect();
    expect![[r#"
        admission: {"bulk_share_percent":50,"in_flight_bytes":67108864,"in_flight_requests":1024,"least_time_left_percent":150,"normal_share_percent":85,"organisation_count":131072,"overcommit_percent":200,"retry_after_max_ms":120000,"retry_after_min_ms":100,"retry_after_rate_percent":25,"retry_burst_requests":20,"retry_min_per_s":1}
        availability_zone: "kariakoo"
        balancing: {"cold_ramp_ms":10000,"cold_start_permille":100,"dispatch_load_permille":500,"grant_ask_again_ms":100,"grant_grace_ms":1000,"grant_pause_ms":200,"grant_queue_requests":256,"grant_timeout_ms":10,"grant_valid_ms":50,"load_report_max_age_ms":1000,"shed_pause_ms":20,"spill_bytes_per_s":50000,"subset_servers":0}
        caller_address: "10.0.0.1:8080"
        caller_idle_ms: 10000
        checkpoint: {"due_percent":40,"jitter_percent":2,"rank_limit":8,"rank_step_percent":5,"retention_ms":86400000,"retry_ms":5000}
        claims: {"answer_limit_bytes":65536,"attempt_limit_requests":10000,"claim_timeout_ms":250,"epoch_ms":60000,"hand_over_limit_bytes":262144,"home_limit_bytes":67108864,"home_limit_keys":200000,"prefix_lifetime_ms":300000,"retention_ms":900000,"retry_after_ms":200,"seal_timeout_ms":250,"witness_limit_bytes":67108864,"witness_limit_homes":16384,"witness_limit_keys":200000}
        config_fold: {"gap_limit_bytes":67108864,"tail_limit_bytes":4194304}
        entry_point_lifetime_ms: 30000
        health: {"alert_summary_interval_ms":100,"clock_rate_error_ppm":1000,"ejection_base_ms":5000,"ejection_max_ms":300000,"flap_memory_ms":600000,"grant_max_ms":2000,"lease_duration_ms":10000,"quarantine_capacity_count":4096,"quarantine_retention_ms":600000,"quiet_summary_interval_ms":1000,"state_max_age_ms":5000,"summary_max_age_ms":10000,"tolerated_slowdown_permille":1300,"trickle_weight_permille":50}
        leave_timeout_ms: 60000
        log_client: {"answer_limit_bytes":67108864,"connect_timeout_ms":1000,"request_timeout_ms":5000}
        log_level: "info"
        log_service_address: "10.0.9.1:9000"
        max_header_count: 100
        membership: {"dead_probe_period_ms":10000,"dead_retention_ms":3600000,"gossip_transmissions":8,"indirect_probes":3,"piggyback_limit_bytes":512,"ping_timeout_ms":300,"probe_period_ms":1000,"repair_limit_bytes":2048,"repair_period_ms":10000,"suspicion_timeout_ms":10000,"sync_limit_bytes":16384}
        operator_address: "10.0.0.1:8081"
        peer_address: "10.0.0.1:8082"
        region: "pwani"
        spread: {"announce_count":6,"backoff_base_ms":100,"far_pull_wait_ms":2000,"log_backoff_limit_ms":5000,"log_poll_ms":500,"log_read_count":256,"log_timeout_ms":5000,"pull_backoff_limit_ms":2000,"pull_limit_bytes":1048576,"pull_timeout_ms":1000,"start_peer_count":3,"start_wait_ms":3000,"tailer_count":2}
        statsd_address: null
        traffic_thread_count: 2
        unknown_service_deadline_ms: 10000
        vm_id: "vm-1""#]].assert_eq(&lines.join("\n"));
}

/// Checks that the first line of an error names the file, the line, the field
/// and the expected value.
fn assert_locates_field(message: &str, line: u32, field: &str) {
    let first = message.lines().next().unwrap_or_default();
    let parts = [
        "vm.yaml".to_owned(),
        format!("line {line}"),
        format!("`{field}`"),
        "expected".to_owned(),
    ];
    let missing: Vec<&String> = parts.iter().filter(|part| !first.contains(*part)).collect();
    assert!(missing.is_empty(), "{missing:?} not in: {first}");
}

#[test]
fn refuses_an_unknown_field() {
    let message = error_for_added_line("caller_adress: 10.0.0.1:8080");
    assert_locates_field(&message, 8, "caller_adress");
}

#[test]
fn refuses_an_unknown_field_of_a_module() {
    let message = error_for_added_line("claims:\n  claim_timeout: 5");
    assert_locates_field(&message, 9, "claim_timeout");
    let message = message.lines().next().unwrap_or_default();
    expect!["vm.yaml: line 9, field `claims.claim_timeout`: unknown field `claim_timeout`; expected one of answer_limit_bytes, attempt_limit_requests, claim_timeout_ms, epoch_ms, hand_over_limit_bytes, home_limit_bytes, home_limit_keys, prefix_lifetime_ms, retention_ms, retry_after_ms, seal_timeout_ms, witness_limit_homes, witness_limit_bytes, witness_limit_keys"].assert_eq(message);
}

#[test]
fn refuses_a_host_name() {
    let message = error_for_replacement("10.0.9.1:9000", "log.example:9000");
    assert_locates_field(&message, 3, "log_service_address");
}

#[test]
fn refuses_an_invalid_ip() {
    let message = error_for_replacement("10.0.9.1:9000", "10.0.9.256:9000");
    assert_locates_field(&message, 3, "log_service_address");
}

#[test]
fn refuses_a_missing_field() {
    // The parser reports the line of a field next to the missing one.
    assert_locates_field(&error_for_replacement("region: pwani\n", ""), 6, "region");
}

#[test]
fn refuses_a_missing_value() {
    assert_locates_field(
        &error_for_replacement("region: pwani", "region:"),
        6,
        "region",
    );
}

#[test]
fn refuses_an_empty_name() {
    assert_locates_field(
        &error_for_replacement("region: pwani", "region: ''"),
        6,
        "region",
    );
}

#[test]
fn refuses_an_unspecified_address() {
    let message = error_for_replacement("10.0.0.1:8082", "0.0.0.0:8082");
    assert_locates_field(&message, 5, "peer_address");
}

#[test]
fn refuses_port_zero() {
    assert_locates_field(
        &error_for_replacement("10.0.0.1:8082", "10.0.0.1:0"),
        5,
        "peer_address",
    );
}

#[test]
fn refuses_an_unknown_log_level() {
    assert_locates_field(&error_for_added_line("log_level: loud"), 8, "log_level");
}

#[test]
fn refuses_zero_threads() {
    let message = error_for_added_line("traffic_thread_count: 0");
    assert_locates_field(&message, 8, "traffic_thread_count");
}

#[test]
fn refuses_a_negative_time() {
    let message = error_for_added_line("caller_idle_ms: -1");
    assert_locates_field(&message, 8, "caller_idle_ms");
}

#[test]
fn refuses_a_duplicate_field() {
    assert_locates_field(&error_for_added_line("region: kaskazini"), 8, "region");
}
