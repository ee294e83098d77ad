//! Keyed orders whose home, witness or entry VM fails or restarts.

use std::net;

use expect_test::expect;

use super::keys::order;
use super::keys::start;
use super::scripted_server;
use super::step;
use super::vm;
use super::wait;

#[tokio::test(flavor = "multi_thread")]
async fn closes_a_key_whose_witness_refuses_connections() {
    let (home, witness, server) = start(&[step::Step::response("done")]).await;
    let unreachable_witness = foxtailwinch::claims::VmIdentity {
        peer_address: vm::unused_address().await,
        ..witness.identity
    };
    let prefix = home.traffic.home.prefix_for(unreachable_witness).encode();
    let key = format!("idempotency-key: {prefix}.k1");
    expect!["503 claim-denied not-run"].assert_eq(&order(&home, &key, "x").await.render());
    expect!["409 key-closed not-run"].assert_eq(&order(&home, &key, "x").await.render());
    assert_eq!(server.request_count(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn seals_a_key_whose_home_is_unknown() {
    let (home, witness, server) = start(&[step::Step::response("done")]).await;
    let key = home.key_header(&witness, "k1");
    expect!["409 key-closed not-run"].assert_eq(&order(&witness, &key, "x").await.render());
    expect!["503 claim-denied not-run"].assert_eq(&order(&home, &key, "x").await.render());
    assert_eq!(server.request_count(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn witness_reports_may_have_run_for_a_claimed_key() {
    let (home, witness, _server) = start(&[step::Step::response("done")]).await;
    let key = home.key_header(&witness, "k1");
    order(&home, &key, "x").await;
    expect!["409 key-may-have-run may-have-run"]
        .assert_eq(&order(&witness, &key, "x").await.render());
}

#[tokio::test(flavor = "multi_thread")]
async fn forwards_an_order_to_its_home() {
    let (home, witness, server) = start(&[step::Step::response("done")]).await;
    let entry = vm::Vm::start("").await;
    entry.add_entry_vm(&home, home.address);
    let key = home.key_header(&witness, "k1");
    expect!["200 `done`"].assert_eq(&order(&entry, &key, "x").await.render());
    expect!["200 `done`"].assert_eq(&order(&home, &key, "x").await.render());
    assert_eq!(server.request_count(), 1);
}

/// A restarted home has no record of the claims of its earlier incarnation, so it
/// must query the witness instead of running the order.
#[tokio::test(flavor = "multi_thread")]
async fn closes_a_key_of_an_earlier_incarnation_of_the_home() {
    let (home, witness, server) = start(&[step::Step::response("done")]).await;
    let mut prefix = home.traffic.home.prefix_for(witness.identity);
    prefix.home.incarnation = 0;
    let key = format!("idempotency-key: {}.k1", prefix.encode());
    expect!["409 key-closed not-run"].assert_eq(&order(&home, &key, "x").await.render());
    assert_eq!(server.request_count(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn never_runs_a_key_of_an_earlier_incarnation_of_the_witness() {
    let (home, witness, server) = start(&[step::Step::response("done")]).await;
    let mut prefix = home.traffic.home.prefix_for(witness.identity);
    prefix.witness.incarnation = 0;
    let key = format!("idempotency-key: {}.k1", prefix.encode());
    expect!["503 claim-denied not-run"].assert_eq(&order(&home, &key, "x").await.render());
    let at_witness = order(&witness, &key, "x").await;
    expect!["409 key-may-have-run may-have-run"].assert_eq(&at_witness.render());
    assert_eq!(server.request_count(), 0);
}

/// Sends an order to an entry VM that has `address` as the home's address for
/// callers, then to the home itself. Returns both rendered responses.
async fn order_with_home_at(address: net::SocketAddr) -> String {
    let (home, witness, _server) = start(&[step::Step::response("done")]).await;
    let entry = vm::Vm::start("").await;
    entry.add_entry_vm(&home, address);
    let key = home.key_header(&witness, "k1");
    let first = order(&entry, &key, "x").await.render();
    let second = order(&home, &key, "x").await.render();
    format!("{first}, {second}")
}

#[tokio::test(flavor = "multi_thread")]
async fn seals_a_key_whose_home_refuses_connections() {
    let responses = order_with_home_at(vm::unused_address().await).await;
    expect!["409 key-closed not-run, 503 claim-denied not-run"].assert_eq(&responses);
}

#[tokio::test(flavor = "multi_thread")]
async fn does_not_forward_a_response_that_no_vm_sent() {
    let other_server = scripted_server::ScriptedServer::new(&[step::Step::response("wrong")]);
    let responses = order_with_home_at(other_server.listen().await).await;
    expect!["409 key-closed not-run, 503 claim-denied not-run"].assert_eq(&responses);
}

#[tokio::test(flavor = "multi_thread")]
async fn does_not_forward_the_homes_response_to_another_request() {
    let text = "HTTP/1.1 200 OK\r\nx-foxtailwinch-vm: vm-2\r\nx-request-id: r9\r\n\
                content-length: 6\r\n\r\nsecret";
    let home =
        scripted_server::ScriptedServer::new(&[step::Step::raw(text, step::NextAction::Serve)]);
    let responses = order_with_home_at(home.listen().await).await;
    assert!(!responses.contains("secret"), "{responses}");
}

#[tokio::test(flavor = "multi_thread")]
async fn does_not_forward_a_response_of_the_home_without_length() {
    let text = "HTTP/1.1 200 OK\r\nx-foxtailwinch-vm: vm-2\r\nx-request-id: r1\r\n\r\nhalf";
    let home =
        scripted_server::ScriptedServer::new(&[step::Step::raw(text, step::NextAction::Close)]);
    let responses = order_with_home_at(home.listen().await).await;
    assert!(!responses.contains("half"), "{responses}");
}

#[tokio::test(flavor = "multi_thread")]
async fn leaves_a_truncated_response_incomplete_when_an_entry_vm_forwards_it() {
    let truncated_response =
        step::Step::partial_response(3_000_000, 2_000_000, step::NextAction::Close);
    let (home, witness, server) = start(&[truncated_response]).await;
    let entry = vm::Vm::start("").await;
    entry.add_entry_vm(&home, home.address);
    let key = home.key_header(&witness, "k1");
    expect!["200 truncated"].assert_eq(&order(&entry, &key, "x").await.render());
    assert_eq!(server.request_count(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn refuses_new_keys_while_leaving() {
    let (home, witness, server) = start(&[step::Step::response("done")]).await;
    let key = home.key_header(&witness, "k1");
    home.traffic.home.leave();
    expect!["503 leaving not-run"].assert_eq(&order(&home, &key, "x").await.render());
    assert_eq!(server.request_count(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn witness_returns_the_response_after_the_home_has_left() {
    let (home, witness, server) = start(&[step::Step::response("done")]).await;
    let key = home.key_header(&witness, "k1");
    order(&home, &key, "x").await;
    home.traffic.home.leave();
    let until_handed_over = async {
        while order(&witness, &key, "x").await.render() != "200 `done`" {
            tokio::task::yield_now().await;
        }
    };
    let finished = tokio::time::timeout(wait::TIMEOUT, until_handed_over).await;
    assert_eq!((finished.is_ok(), server.request_count()), (true, 1));
}

#[tokio::test(flavor = "multi_thread")]
async fn closes_a_key_whose_witness_does_not_respond() {
    let server = scripted_server::ScriptedServer::new(&[step::Step::response("done")]);
    let address = server.listen().await;
    let home = vm::Vm::start_with_settings(&[address], "claims: {claim_timeout_ms: 200}").await;
    let unresponsive_witness = foxtailwinch::claims::VmIdentity {
        peer_address: scripted_server::ScriptedServer::new(&[step::Step::hang()])
            .listen()
            .await,
        ..home.identity
    };
    let prefix = home.traffic.home.prefix_for(unresponsive_witness).encode();
    let key = format!("idempotency-key: {prefix}.k1");
    expect!["503 claim-denied not-run"].assert_eq(&order(&home, &key, "x").await.render());
    expect!["409 key-closed not-run"].assert_eq(&order(&home, &key, "x").await.render());
    assert_eq!(server.request_count(), 0);
}
