//! Parsing and encoding of keys and prefixes.

use std::net;

use foxtailwinch::claims;

fn prefix() -> claims::KeyPrefix {
    let vm = |incarnation, ip: &str| claims::VmIdentity {
        incarnation,
        peer_address: net::SocketAddr::new(ip.parse().expect("an IP address"), 7_001),
    };
    claims::KeyPrefix {
        home: vm(3, "10.1.0.7"),
        home_epoch: 12,
        witness: vm(1_796_000_000_000, "fd00::2:9"),
    }
}

fn outcome(header: &str) -> String {
    match claims::ClaimKey::parse("duka", header) {
        Ok(key) => format!("{} of {}", key.caller_key, key.organisation),
        Err(error) => format!("{error} -> {:?}", error.refusal(100)),
    }
}

#[test]
fn prefix_round_trips() {
    let text = prefix().encode();
    assert_eq!(claims::KeyPrefix::parse(&text), Ok(prefix()));
    expect_test::expect![
        "AQAAAAAAAAADBAoBAAcbWQAAAAAAAAAMAAABoinxKAAG_QAAAAAAAAAAAAAAAAIACRtZpnE8Tg"
    ]
    .assert_eq(&text);
}

#[test]
fn every_changed_character_is_detected() {
    let text = prefix().encode();
    for index in 0..text.len() {
        let mut changed = text.clone().into_bytes();
        changed[index] = if changed[index] == b'A' { b'B' } else { b'A' };
        let changed = String::from_utf8(changed).expect("ASCII");
        assert!(claims::KeyPrefix::parse(&changed).is_err(), "{changed}");
        assert!(
            claims::KeyPrefix::parse(&text[..index]).is_err(),
            "cut at {index}"
        );
    }
}

#[test]
fn invalid_keys_are_rejected() {
    let prefix = prefix().encode();
    let headers = [
        "order-17".to_owned(),
        "!!.order-17".to_owned(),
        format!("B{}.order-17", &prefix[1..]),
        format!("{prefix}."),
        format!("{prefix}.{}", "k".repeat(129)),
        format!("{prefix}.order 17"),
        format!("{prefix}.order-17"),
        format!("{prefix}.order.17"),
    ];
    let outcomes: Vec<String> = headers.iter().map(|header| outcome(header)).collect();
    expect_test::expect![[r"
        the key has no prefix, expected `prefix.own-key` -> Refusal { reason: KeyPrefixMissing, retry_after_ms: 100, verdict: NotRun }
        the key prefix cannot be decoded -> Refusal { reason: KeyPrefixMissing, retry_after_ms: 100, verdict: NotRun }
        the key prefix does not match its checksum -> Refusal { reason: KeyPrefixMissing, retry_after_ms: 100, verdict: NotRun }
        the part of the key after the prefix has 0 bytes, expected 1 to 128 -> Refusal { reason: KeyPrefixMissing, retry_after_ms: 100, verdict: NotRun }
        the part of the key after the prefix has 129 bytes, expected 1 to 128 -> Refusal { reason: KeyPrefixMissing, retry_after_ms: 100, verdict: NotRun }
        the part of the key after the prefix may contain visible ASCII characters only -> Refusal { reason: KeyPrefixMissing, retry_after_ms: 100, verdict: NotRun }
        order-17 of duka
        order.17 of duka"]].assert_eq(&outcomes.join("\n"));
}

#[test]
fn messages_round_trip_through_json() {
    let key = claims::ClaimKey::parse("duka", &format!("{}.k", prefix().encode())).expect("a key");
    let reply = claims::SealReply::Answer(claims::StoredResponse {
        body: vec![0, 255, 7].into(),
        headers: vec![claims::StoredHeader {
            name: "etag".to_owned(),
            value: vec![255],
        }],
        request_fingerprint: 9,
        status: 201,
    });
    let text = serde_json::to_string(&(&key, &reply)).expect("serialises");
    let read: (claims::ClaimKey, claims::SealReply) = serde_json::from_str(&text).expect("reads");
    assert_eq!(read, (key, reply));
}
