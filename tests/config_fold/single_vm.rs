//! Requests and readiness of a single VM.

use foxtailwinch::config_fold;
use foxtailwinch::configs;
use foxtailwinch::log_client;
use foxtailwinch::state_machine::StateMachine as _;
use rand::SeedableRng as _;

use crate::fixtures;

fn member(id: &str, zone: &str) -> config_fold::ReplicationMember {
    config_fold::ReplicationMember {
        availability_zone: zone.to_owned(),
        id: id.to_owned(),
        region: "pwani".to_owned(),
    }
}

fn new_replicator(id: &str, members: &[config_fold::ReplicationMember]) -> config_fold::Replicator {
    let own = members.iter().find(|member| member.id == id).unwrap();
    let fold = config_fold::ConfigFold::new(configs::ConfigFoldConfig::default());
    let random = rand::rngs::SmallRng::seed_from_u64(1);
    let config = configs::ReplicationConfig::default();
    let mut replicator = config_fold::Replicator::new(config, own.clone(), fold, random);
    let event = config_fold::ReplicationEvent::MembershipChanged(members.to_vec());
    replicator.handle(0, event);
    replicator
}

fn roll_outs() -> Vec<config_fold::LogRecord> {
    fixtures::stored(vec![
        fixtures::proposed("one", None, &fixtures::bundle(1_000)),
        fixtures::signed_off("one"),
        fixtures::rolled_out("one", None),
        fixtures::proposed("two", Some("one"), &fixtures::bundle(2_000)),
        fixtures::signed_off("two"),
        fixtures::rolled_out("two", Some("one")),
    ])
}

fn log_batch(
    records: &[config_fold::LogRecord],
    next_offset: u64,
) -> config_fold::ReplicationEvent {
    config_fold::ReplicationEvent::LogBatch(log_client::LogBatch {
        first_offset: 0,
        next_offset,
        records: records.to_vec(),
    })
}

/// Runs `replicator` until `end_ms`, fails its reads of the log and leaves its pulls
/// without a response. Returns its actions.
fn run_with_failing_requests(
    replicator: &mut config_fold::Replicator,
    start_ms: u64,
    end_ms: u64,
) -> Vec<config_fold::ReplicationAction> {
    let mut all = Vec::new();
    for now_ms in (start_ms..end_ms).step_by(50) {
        let actions = replicator.handle(now_ms, config_fold::ReplicationEvent::Tick);
        if actions
            .iter()
            .any(|action| matches!(action, config_fold::ReplicationAction::ReadLog { .. }))
        {
            replicator.handle(now_ms, config_fold::ReplicationEvent::LogReadFailed);
        }
        all.extend(actions);
    }
    all
}

/// A VM that has read only a part of the log may have an older bundle in force
/// than the other VMs serve with.
#[test]
fn incomplete_history_is_not_served() {
    let members = [member("vm-1", "kariakoo"), member("vm-2", "mbezi")];
    let mut replicator = new_replicator("vm-1", &members);
    let records = roll_outs();
    replicator.handle(100, log_batch(&records[..4], 6));
    run_with_failing_requests(&mut replicator, 150, 60_000);
    assert_eq!(replicator.fold().in_force().unwrap().version, "one");
    assert!(
        !replicator.is_ready(),
        "a VM with an incomplete history is not ready"
    );
    assert_eq!(
        replicator.answer_pull(0, 1_000_000),
        None,
        "a VM that is not ready answers no pulls"
    );
    let actions = replicator.handle(60_000, log_batch(&records[4..], 6));
    assert!(actions.contains(&config_fold::ReplicationAction::Ready));
    assert_eq!(replicator.fold().in_force().unwrap().version, "two");
}

/// A new VM that serves after the response of the first peer may serve with an older
/// bundle than its other peers.
#[test]
fn new_vm_waits_for_all_queried_peers_and_serves_the_newest_bundle() {
    let members = ["vm-1", "vm-2", "vm-3"].map(|id| member(id, "kariakoo"));
    let mut behind = new_replicator("vm-2", &members);
    let mut ahead = new_replicator("vm-3", &members);
    let records = roll_outs();
    behind.handle(0, log_batch(&records[..3], 3));
    ahead.handle(0, log_batch(&records, 6));
    behind.handle(4_000, config_fold::ReplicationEvent::Tick);
    ahead.handle(4_000, config_fold::ReplicationEvent::Tick);
    let mut replicator = new_replicator("vm-1", &members);
    replicator.handle(0, config_fold::ReplicationEvent::LogReadFailed);
    let batch =
        |from: &config_fold::Replicator, peer: &str| config_fold::ReplicationEvent::PeerBatch {
            batch: from.answer_pull(0, 1_000_000).unwrap(),
            peer: peer.to_owned(),
        };
    replicator.handle(100, batch(&behind, "vm-2"));
    assert!(!replicator.is_ready(), "another peer has not responded yet");
    replicator.handle(200, batch(&ahead, "vm-3"));
    assert!(replicator.is_ready());
    assert_eq!(replicator.fold().in_force().unwrap().version, "two");
}

/// A peer with a wrong offset must not cause pulls forever.
#[test]
fn forged_offset_causes_only_one_pull() {
    let members = [member("vm-1", "kariakoo"), member("vm-2", "mbezi")];
    let mut replicator = new_replicator("vm-1", &members);
    replicator.handle(0, log_batch(&roll_outs(), 6));
    run_with_failing_requests(&mut replicator, 50, 10_000);
    assert!(replicator.is_ready());
    let forged = config_fold::ReplicationEvent::PeerOffsetReceived {
        next_offset: u64::MAX,
        peer: "vm-2".to_owned(),
    };
    let actions = replicator.handle(10_000, forged);
    let is_pull = |action: &config_fold::ReplicationAction| {
        matches!(action, config_fold::ReplicationAction::PullFromPeer { .. })
    };
    assert!(actions.iter().any(is_pull));
    let empty_batch = replicator.answer_pull(6, 1_000).unwrap();
    let batch = config_fold::ReplicationEvent::PeerBatch {
        batch: empty_batch,
        peer: "vm-2".to_owned(),
    };
    assert!(!replicator.handle(10_050, batch).iter().any(is_pull));
    assert!(
        !run_with_failing_requests(&mut replicator, 10_100, 60_000)
            .iter()
            .any(is_pull)
    );
}

/// Both tailers of a region in one zone would fail together with this zone.
#[test]
fn log_tailers_are_in_different_zones() {
    let members: Vec<_> = (0..9)
        .map(|number| {
            member(
                &format!("vm-{number}"),
                if number < 8 { "kariakoo" } else { "mbezi" },
            )
        })
        .collect();
    let zones: Vec<&str> = members
        .iter()
        .filter(|member| new_replicator(&member.id, &members).tails_log())
        .map(|member| member.availability_zone.as_str())
        .collect();
    assert_eq!(zones, ["kariakoo", "mbezi"]);
}
