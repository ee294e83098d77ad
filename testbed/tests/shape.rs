//! Tests of the sizes of the operators' systems.

use std::process;

use expect_test::expect;
use testbed::shape;

fn sizes(customer: shape::Customer, scale: f64) -> String {
    let bundle = customer.shape().bundle(scale, 8_001);
    let services = bundle.services.iter().map(|(name, service)| {
        let slots: u32 = service
            .servers
            .values()
            .map(|server| server.slot_count)
            .sum();
        let limits: indexmap::IndexSet<u32> = service
            .servers
            .values()
            .map(|server| server.connection_limit)
            .collect();
        let zones: indexmap::IndexSet<String> = service
            .servers
            .values()
            .map(|server| format!("{}/{}", server.region, server.availability_zone))
            .collect();
        format!(
            "{name}: {} servers, {slots} slots, floor {}, idempotent {}, {limits:?} connections, {zones:?}\n",
            service.servers.len(),
            service.floor_servers,
            service.idempotent
        )
    });
    services.collect()
}

#[test]
fn lebo_shape_has_the_stated_sizes() {
    expect![[r#"
        bei: 10 servers, 60 slots, floor 7, idempotent true, {330} connections, {"pwani/kariakoo", "kaskazini/arusha", "pwani/mbezi", "kaskazini/moshi"}
        agizo: 15 servers, 90 slots, floor 10, idempotent false, {330} connections, {"pwani/kariakoo", "kaskazini/arusha", "pwani/mbezi", "kaskazini/moshi"}
        orodha: 8 servers, 48 slots, floor 5, idempotent false, {330} connections, {"pwani/kariakoo", "kaskazini/arusha", "pwani/mbezi", "kaskazini/moshi"}
    "#]]
    .assert_eq(&sizes(shape::Customer::Lebo, 1.0));
}

#[test]
fn tazas_shape_has_the_stated_sizes() {
    expect![[r#"
        vitrina: 9 servers, 18 slots, floor 6, idempotent true, {330} connections, {"sierra/a", "costa/a", "sierra/b", "costa/b"}
        caja: 12 servers, 24 slots, floor 8, idempotent false, {330} connections, {"sierra/a", "costa/a", "sierra/b", "costa/b"}
        revelado: 8 servers, 16 slots, floor 5, idempotent false, {330} connections, {"sierra/a", "costa/a", "sierra/b", "costa/b"}
    "#]]
    .assert_eq(&sizes(shape::Customer::Tazas, 1.0));
}

#[test]
fn small_scale_keeps_two_servers_per_service() {
    let servers = shape::Customer::Tazas.shape().servers(0.01, 9_000);
    let lines = servers
        .iter()
        .map(|server| format!("{} {} {}\n", server.name, server.address, server.region));
    expect![[r"
        vitrina-1 127.0.0.1:9000 sierra
        vitrina-2 127.0.0.1:9001 costa
        caja-1 127.0.0.1:9002 sierra
        caja-2 127.0.0.1:9003 costa
        revelado-1 127.0.0.1:9004 sierra
        revelado-2 127.0.0.1:9005 costa
    "]]
    .assert_eq(&lines.collect::<String>());
}

#[test]
fn printed_bundle_parses_to_the_same_bundle() {
    let printed = process::Command::new(env!("CARGO_BIN_EXE_print-shape"))
        .args([
            "--customer",
            "lebo",
            "--scale",
            "0.5",
            "--first-port",
            "8001",
        ])
        .output()
        .expect("a process");
    let yaml = String::from_utf8(printed.stdout).expect("text");
    let bundle: foxtailwinch::bundle::Bundle = serde_saphyr::from_str(&yaml).expect("a bundle");
    let expected = shape::Customer::Lebo.shape().bundle(0.5, 8_001);
    assert_eq!(bundle, expected);
}
