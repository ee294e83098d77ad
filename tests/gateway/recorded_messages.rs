//! Messages between entry VMs as the earlier releases encode them: builds of two releases
//! run side by side during an upgrade.

use std::fmt::Write as _;

use foxtailwinch::gateway;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

fn messages() -> Vec<gateway::FleetMessage> {
    let summary = gateway::StateSummary {
        configuration_age_ms: Some(250),
        configuration_version: 12,
        newest_known_version: 13,
        registry_age_ms: None,
        registry_revision: 400,
        store_fails: true,
    };
    let load = gateway::LoadReport {
        servers: vec![gateway::ServerLoad {
            in_flight: 3,
            incarnation: 0x0123_4567_89ab_cdef,
            sent_count: 2,
            success_count: 1,
        }],
        services: vec![gateway::ServiceOutcomes {
            begun_count: 5,
            service_hash: 7,
            unserved_count: 1,
        }],
    };
    let evidence = [
        gateway::Evidence::Failure,
        gateway::Evidence::Slow,
        gateway::Evidence::Success,
    ];
    let mut messages: Vec<gateway::FleetMessage> = evidence
        .map(|evidence| gateway::FleetMessage::Evidence {
            evidence,
            incarnation: 300,
        })
        .into();
    messages.extend([
        gateway::FleetMessage::Load(load),
        gateway::FleetMessage::StateSummary(summary),
        gateway::FleetMessage::StateSummaryReply(summary),
        gateway::FleetMessage::Limit(gateway::LimitNotice {
            has_request: true,
            incarnation: 300,
            limit_milli: Some(2_500),
        }),
        gateway::FleetMessage::Leaving(300),
    ]);
    messages
}

/// Guards against a build whose messages the release before it cannot read, and the other
/// way round. The bytes are those of release 1571f63.
#[test]
fn messages_are_encoded_as_by_the_release_before() {
    let mut text = String::new();
    for message in messages() {
        let bytes = postcard::to_stdvec(&message).expect("an encoding");
        let decoded: gateway::FleetMessage = postcard::from_bytes(&bytes).expect("a message");
        assert_eq!(format!("{decoded:?}"), format!("{message:?}"));
        let _ = writeln!(text, "{}", hex(&bytes));
    }
    expect_test::expect![[r"
        0000ac02
        0001ac02
        0002ac02
        010103ef9bafcdf8acd19101020101050701
        0301fa010c0d00900301
        0501fa010c0d00900301
        0601ac0201c413
        07ac02
    "]]
    .assert_eq(&text);
}
