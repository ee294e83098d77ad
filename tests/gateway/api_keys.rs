//! Tests of the identification of callers by their keys.

use std::sync;

use foxtailwinch::gateway;
use foxtailwinch::ports;

use crate::fixtures;

const VERSION: u64 = 5;

fn digest(key: &str) -> ports::KeyDigest {
    ports::KeyDigest::of(key.as_bytes())
}

fn organisation(name: &str, keys: &[&str]) -> ports::Organisation {
    ports::Organisation {
        allowance: None,
        key_digests: keys.iter().copied().map(digest).collect(),
        name: name.to_owned(),
        priority: None,
    }
}

fn index(organisations: Vec<ports::Organisation>) -> gateway::RouteIndex {
    gateway::RouteIndex::build(sync::Arc::new(ports::FleetConfiguration {
        organisations,
        ..fixtures::configuration(VERSION, Vec::new())
    }))
}

fn two_organisations() -> gateway::RouteIndex {
    index(vec![
        organisation("baraka", &["k-3"]),
        organisation("asha", &["k-1", "k-2"]),
    ])
}

fn identified(routes: &gateway::RouteIndex, request: gateway::IdentificationRequest) -> String {
    match gateway::identify(routes, &request) {
        gateway::Identification::Organisation(organisation) => organisation.name.clone(),
        other => format!("{other:?}"),
    }
}

fn request(key: Option<&str>, is_public: bool) -> gateway::IdentificationRequest {
    gateway::IdentificationRequest {
        confirmation_age_ms: Some(0),
        is_public,
        key: key.map(digest),
        newest_known_version: VERSION,
    }
}

/// Guards against a weight that is not the configuration's: an organisation without an
/// allowance weighs as much as the average one with an allowance.
#[test]
fn organisations_without_an_allowance_weigh_as_the_average() {
    let with_rate = |name: &str, rate_milli_per_s| ports::Organisation {
        allowance: Some(ports::Allowance {
            burst_milli: 1_000,
            rate_milli_per_s,
        }),
        ..organisation(name, &[])
    };
    let unlimited = organisation("chui", &[]);
    let organisations = vec![
        with_rate("asha", 500),
        with_rate("baraka", 2_500),
        unlimited.clone(),
    ];
    let weights = |organisations: &[ports::Organisation]| {
        let routes = index(organisations.to_vec());
        let weigh = |organisation| routes.organisations.weight(organisation);
        let mut weights: Vec<u64> = organisations
            .iter()
            .map(|known| weigh(Some(known)))
            .collect();
        weights.push(weigh(None));
        weights
    };
    assert_eq!(weights(&organisations), [500, 2_500, 1_500, 1_500]);
    assert_eq!(weights(&[unlimited]), [1, 1]);
    let huge = [with_rate("asha", u64::MAX), with_rate("baraka", u64::MAX)];
    assert_eq!(weights(&huge), [u64::MAX; 3]);
}

/// Guards against a request that is taken for another organisation's, and against one
/// without a known key that is served.
#[test]
fn key_decides_on_the_organisation() {
    let routes = two_organisations();
    let keys = [Some("k-1"), Some("k-2"), Some("k-3"), Some("k-4"), None];
    let mut table = Vec::new();
    for key in keys {
        for is_public in [false, true] {
            let found = identified(&routes, request(key, is_public));
            let key = key.unwrap_or("none");
            table.push(format!("{key} public={is_public} -> {found}"));
        }
    }
    expect_test::expect![[r"
        k-1 public=false -> asha
        k-1 public=true -> asha
        k-2 public=false -> asha
        k-2 public=true -> asha
        k-3 public=false -> baraka
        k-3 public=true -> baraka
        k-4 public=false -> KeyUnknown
        k-4 public=true -> NoOrganisation
        none public=false -> KeyUnknown
        none public=true -> NoOrganisation"]]
    .assert_eq(&table.join("\n"));
    let no_organisations = index(Vec::new());
    let found = identified(&no_organisations, request(Some("k-1"), false));
    assert_eq!(found, "NoOrganisation");
}

/// Guards against an unknown key that is refused for good although a newer configuration
/// may contain it, and against a known key that is refused by a VM that is cut off.
#[test]
fn unknown_key_is_refused_for_good_only_by_the_newest_configuration() {
    let routes = two_organisations();
    let mut table = Vec::new();
    for (confirmation_age_ms, newest_known_version) in [
        (Some(0), VERSION),
        (Some(1_500), VERSION),
        (Some(1_501), VERSION),
        (None, VERSION),
        (Some(0), VERSION + 1),
        (Some(100_000), VERSION + 1),
    ] {
        let found = |key| {
            let request = gateway::IdentificationRequest {
                confirmation_age_ms,
                newest_known_version,
                ..request(Some(key), false)
            };
            identified(&routes, request)
        };
        table.push(format!(
            "{confirmation_age_ms:?} {newest_known_version}: unknown {}, known {}",
            found("k-4"),
            found("k-1")
        ));
    }
    expect_test::expect![[r"
        Some(0) 5: unknown KeyUnknown, known asha
        Some(1500) 5: unknown KeyUnknown, known asha
        Some(1501) 5: unknown ConfigurationOutdated, known asha
        None 5: unknown ConfigurationOutdated, known asha
        Some(0) 6: unknown ConfigurationOutdated, known asha
        Some(100000) 6: unknown ConfigurationOutdated, known asha"]]
    .assert_eq(&table.join("\n"));
}

/// Guards against a lookup that misses organisations, whatever their number and order.
#[test]
fn all_organisations_are_found_by_name_and_by_key() {
    for count in [0, 1, 2, 3, 74, 1_000] {
        let name = |number: usize| format!("org-{}", number * 7_919 % 10_007);
        let organisations = (0..count).map(|number| {
            let keys = [format!("a-{number}"), format!("b-{number}")];
            organisation(&name(number), &[&keys[0], &keys[1]])
        });
        let routes = index(organisations.collect());
        let organisations = &routes.organisations;
        assert_eq!(organisations.is_empty(), count == 0);
        for number in 0..count {
            for key in [format!("a-{number}"), format!("b-{number}")] {
                let found = organisations.find_by_digest(&digest(&key));
                assert_eq!(found.map(|found| &found.name), Some(&name(number)));
            }
            let found = organisations.find_by_name(&name(number));
            assert_eq!(found.map(|found| &found.name), Some(&name(number)));
        }
        assert!(organisations.find_by_digest(&digest("c")).is_none());
        assert!(organisations.find_by_name("other").is_none());
    }
}

/// Guards against a proof that is accepted for another request or another organisation,
/// or without the key.
#[test]
fn proof_holds_for_one_organisation_and_one_request() {
    let routes = two_organisations();
    let proof = gateway::OrganisationProof {
        name: "asha".to_owned(),
        proof: routes.organisations.relay_proof(&digest("k-2"), "id-1"),
    };
    let text = proof.to_string();
    assert!(!text.contains(&digest("k-2").to_hex()), "no key digest");
    let proof: gateway::OrganisationProof = text.parse().expect("a proof");
    let found = |proof: &gateway::OrganisationProof, request_id: &str| {
        routes.organisations.find_by_proof(proof, request_id)
    };
    assert_eq!(found(&proof, "id-1"), Some(digest("k-2")));
    assert_eq!(found(&proof, "id-2"), None);
    let other_name = gateway::OrganisationProof {
        name: "baraka".to_owned(),
        ..proof.clone()
    };
    assert_eq!(found(&other_name, "id-1"), None);
    let other_key = gateway::OrganisationProof {
        proof: routes.organisations.relay_proof(&digest("k-4"), "id-1"),
        ..proof
    };
    assert_eq!(found(&other_key, "id-1"), None);
    // A caller knows its own key only.
    let of_caller = gateway::OrganisationProof {
        name: "asha".to_owned(),
        proof: digest("k-2").proof(&ports::KeyDigest::combined(&[digest("k-2")]), "id-1"),
    };
    assert_eq!(found(&of_caller, "id-1"), None);
    for invalid in ["", "asha", "asha k-2", "asha  ", " "] {
        let parsed = invalid.parse::<gateway::OrganisationProof>();
        assert!(parsed.is_err(), "{invalid:?}");
    }
}

/// Load pattern: the store has returned from an older copy while a VM restarts. Guards
/// against a VM that serves by keys that the other VMs know to be withdrawn.
#[test]
fn vm_that_has_just_started_waits_for_the_newest_version_of_its_peers() {
    let checked = |peer_version: u64, now_ms: u64, version: u64| {
        let mut check = gateway::StartCheck::default();
        check.record_peer(peer_version);
        check.is_over(now_ms, version, peer_version.max(version))
    };
    assert!(!checked(0, 1_499, 1), "no peer was heard");
    assert!(checked(0, 1_500, 1), "the only VM goes on");
    assert!(checked(1, 10, 1));
    assert!(checked(1, 10, 2));
    assert!(!checked(2, 2_999, 1), "the newer version is on its way");
    assert!(checked(2, 3_000, 1), "as a VM that is cut off");
    assert!(!checked(2, 3_000, 0), "no configuration at all");
    let mut check = gateway::StartCheck::default();
    assert!(check.is_over(1_500, 1, 1));
    assert!(
        check.is_over(1_600, 1, 2),
        "a VM that serves already goes on while a new version spreads"
    );
}
