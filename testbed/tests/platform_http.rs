//! Tests of the platform through its HTTP interface.

use expect_test::expect;

mod support;

const VM: &str = r#"{"id":"vm-1","peer_address":"127.0.0.1:7101","caller_address":"127.0.0.1:7001","availability_zone":"kariakoo","region":"pwani"}"#;

async fn request(method: &str, address: std::net::SocketAddr, path: &str, body: &str) -> String {
    match support::try_send(method, address, path, &[], body).await {
        Some(reply) => format!("{} {}", reply.status, reply.body.unwrap_or_default()),
        None => "no response".to_owned(),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn records_are_read_by_offset_until_they_expire() {
    let (address, clock) = support::start_platform(1_000, 0);
    let records = "/streams/bundles/records";
    expect![[r#"201 {"offset":0}"#]].assert_eq(&request("POST", address, records, "a").await);
    clock.advance(600);
    expect![[r#"201 {"offset":1}"#]].assert_eq(&request("POST", address, records, "b").await);
    let read = request("GET", address, "/streams/bundles/records?from=1&max=9", "").await;
    expect![[r#"200 {"first_offset":0,"next_offset":2,"records":[{"appended_unix_ms":600,"body":"b","offset":1}]}"#]].assert_eq(&read);
    clock.advance(600);
    let expired = request("GET", address, "/streams/bundles/records?from=0&max=9", "").await;
    expect![[r#"410 {"first_offset":1,"next_offset":2,"records":[]}"#]].assert_eq(&expired);
    let ahead = request("GET", address, "/streams/bundles/records?from=3", "").await;
    expect![[r#"200 {"first_offset":1,"next_offset":2,"records":[]}"#]].assert_eq(&ahead);
}

#[tokio::test(flavor = "multi_thread")]
async fn append_with_a_lost_reply_takes_effect() {
    let (address, _clock) = support::start_platform(0, 0);
    let records = "/streams/bundles/records";
    request("POST", address, "/faults", r#"{"lose_replies":1}"#).await;
    expect!["no response"].assert_eq(&request("POST", address, records, "a").await);
    expect![[r#"201 {"offset":1}"#]].assert_eq(&request("POST", address, records, "b").await);
}

#[tokio::test(flavor = "multi_thread")]
async fn platform_returns_503_while_down() {
    let (address, _clock) = support::start_platform(0, 0);
    request("POST", address, "/faults", r#"{"down":true}"#).await;
    expect!["503 down"].assert_eq(&request("GET", address, "/vms", "").await);
    expect!["503 down"].assert_eq(&request("POST", address, "/streams/s/records", "a").await);
    request("POST", address, "/faults", r#"{"down":false}"#).await;
    let read = request("GET", address, "/streams/s/records?from=0", "").await;
    expect![[r#"200 {"first_offset":0,"next_offset":0,"records":[]}"#]].assert_eq(&read);
}

#[tokio::test(flavor = "multi_thread")]
async fn append_rate_is_limited() {
    let (address, _clock) = support::start_platform(0, 0);
    request("POST", address, "/faults", r#"{"append_rate_per_s":1}"#).await;
    let records = "/streams/bundles/records";
    expect![[r#"201 {"offset":0}"#]].assert_eq(&request("POST", address, records, "a").await);
    expect!["429 more than 1 appends per second"]
        .assert_eq(&request("POST", address, records, "b").await);
}

#[tokio::test(flavor = "multi_thread")]
async fn vm_list_changes_after_the_lag() {
    let (address, clock) = support::start_platform(0, 300);
    expect!["202 "].assert_eq(&request("PUT", address, "/vms/vm-1", VM).await);
    expect![[r#"200 {"vms":[]}"#]].assert_eq(&request("GET", address, "/vms", "").await);
    clock.advance(300);
    expect![[r#"200 {"vms":[{"availability_zone":"kariakoo","caller_address":"127.0.0.1:7001","id":"vm-1","leaving":false,"peer_address":"127.0.0.1:7101","region":"pwani"}]}"#]].assert_eq(&request("GET", address, "/vms", "").await);
    expect!["202 "].assert_eq(&request("DELETE", address, "/vms/vm-1", "").await);
    clock.advance(300);
    expect![[r#"200 {"vms":[]}"#]].assert_eq(&request("GET", address, "/vms", "").await);
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_requests_are_rejected() {
    let (address, _clock) = support::start_platform(0, 0);
    expect!["400 the id differs from the id in the path"]
        .assert_eq(&request("PUT", address, "/vms/vm-2", VM).await);
    expect!["400 missing field `availability_zone` at line 1 column 2"]
        .assert_eq(&request("PUT", address, "/vms/vm-2", "{}").await);
    expect!["404 no such resource"].assert_eq(&request("GET", address, "/nothing", "").await);
}
