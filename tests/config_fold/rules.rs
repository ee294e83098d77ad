//! Results of applying records, batches and checkpoints.

use expect_test::expect;
use foxtailwinch::bundle;
use foxtailwinch::config_fold;
use foxtailwinch::configs;

use crate::fixtures;

fn new_fold() -> config_fold::ConfigFold {
    config_fold::ConfigFold::new(configs::ConfigFoldConfig::default())
}

fn fold_all(records: &[config_fold::LogRecord]) -> (config_fold::ConfigFold, String) {
    let mut fold = new_fold();
    let messages = apply_all(&mut fold, records);
    (fold, messages)
}

fn apply_all(fold: &mut config_fold::ConfigFold, records: &[config_fold::LogRecord]) -> String {
    let events = records.iter().flat_map(|record| fold.apply(record));
    let lines: Vec<String> = events.map(|event| format!("{event:?}")).collect();
    lines.join("\n")
}

/// Returns records that put version `one` and then version `two` in force.
fn two_roll_outs() -> Vec<config_fold::LogRecord> {
    let (first, second) = (fixtures::bundle(1_000), fixtures::bundle(2_000));
    fixtures::stored(vec![
        fixtures::proposed("one", None, &first),
        fixtures::signed_off("one"),
        fixtures::rolled_out("one", None),
        fixtures::proposed("two", Some("one"), &second),
        fixtures::signed_off("two"),
        fixtures::rolled_out("two", Some("one")),
    ])
}

fn checkpoint(fold: &config_fold::ConfigFold, offset: u64) -> config_fold::LogRecord {
    config_fold::LogRecord {
        appended_unix_ms: offset * 1_000,
        body: fixtures::body(&format!("c{offset}"), fold.checkpoint().unwrap()),
        offset,
    }
}

/// All VMs must resolve races in the same way, and invalid or duplicated records must
/// have no effect.
#[test]
fn log_order_resolves_races_bad_bundles_and_duplicates() {
    let content = fixtures::bundle(1_000);
    let bad = content.replace("slot_count: 6", "slot_count: six");
    let floor = content.replace("deadline_ms: 1000", "floor_servers: 2");
    let mut records = fixtures::stored(vec![
        fixtures::proposed("one", None, &content),
        fixtures::proposed("two", None, &content),
        fixtures::proposed("bad", None, &bad),
        fixtures::proposed("floor", None, &floor),
        fixtures::rolled_out("one", None),
        fixtures::signed_off("one"),
        fixtures::signed_off("two"),
        fixtures::rolled_out("one", None),
        fixtures::rolled_out("two", None),
        fixtures::rolled_out("two", Some("one")),
        fixtures::rolled_out("one", Some("one")),
        fixtures::proposed("one", Some("one"), &content),
    ]);
    let mut duplicate = records[7].clone();
    duplicate.offset = 12;
    let unparsable_bodies = [
        "{",
        r#"{"kind":"new","format_version":1,"record_id":"x"}"#,
        r#"{"kind":"signed-off","format_version":9,"record_id":"y"}"#,
    ];
    records.push(duplicate);
    records.extend(unparsable_bodies.iter().zip(13..).map(|(body, offset)| {
        config_fold::LogRecord {
            appended_unix_ms: 0,
            body: (*body).to_owned(),
            offset,
        }
    }));
    expect![[r#"
        BundleProposed { offset: 0, version: "one" }
        BundleProposed { offset: 1, version: "two" }
        Rejected { offset: 2, reason: BadBundle { bundle_version: "bad", problem: "line 9, column 21, field `services.agizo.servers.agizo-1.slot_count`: a value of another type; expected u32" }, record_id: "r2" }
        Rejected { offset: 3, reason: BadBundle { bundle_version: "floor", problem: "field `services.agizo.floor_servers`: 2; expected at most 1, the number of servers" }, record_id: "r3" }
        Rejected { offset: 4, reason: NotSignedOff { bundle_version: "one" }, record_id: "r4" }
        BundleSignedOff { operator: "juma", version: "one" }
        BundleSignedOff { operator: "juma", version: "two" }
        BundleInForce { offset: 7, version: "one" }
        Rejected { offset: 8, reason: StaleBase { bundle_version: "two", version_in_force: Some("one") }, record_id: "r8" }
        Rejected { offset: 9, reason: StaleBase { bundle_version: "two", version_in_force: Some("one") }, record_id: "r9" }
        Rejected { offset: 10, reason: BaseMismatch { bundle_version: "one" }, record_id: "r10" }
        Rejected { offset: 11, reason: VersionTaken { bundle_version: "one" }, record_id: "r11" }
        DuplicateDropped { offset: 12, record_id: "r7" }
        RecordSkipped { offset: 13, reason: "malformed record: EOF while parsing an object at line 1 column 1" }
        RecordSkipped { offset: 14, reason: "unknown record kind `new`" }
        RecordSkipped { offset: 15, reason: "unsupported record format 9; supported formats are 1 to 1" }"#]].assert_eq(&fold_all(&records).1);
}

/// Two VMs must not hold a lease at the same time.
#[test]
fn lease_changes_holder_only_after_expiry_and_with_a_higher_term() {
    // The records are 1 s apart.
    let records = fixtures::stored(vec![
        fixtures::lease("vm-1", 1, 2_500),
        fixtures::lease("vm-2", 2, 2_500),
        fixtures::lease("vm-1", 1, 1_000),
        fixtures::lease("vm-2", 1, 2_500),
        fixtures::lease("vm-2", 2, 2_500),
        fixtures::lease("vm-1", 1, 2_500),
        fixtures::lease("vm-2", 3, 2_500),
    ]);
    expect![[r#"
        LeaseTaken { duration_ms: 2500, holder: "vm-1", name: "agizo", term: 1 }
        Rejected { offset: 1, reason: LeaseHeld { expires_unix_ms: 2500, holder: "vm-1", name: "agizo", term: 1 }, record_id: "r1" }
        LeaseTaken { duration_ms: 1000, holder: "vm-1", name: "agizo", term: 1 }
        Rejected { offset: 3, reason: LeaseTermTooLow { name: "agizo", term: 1 }, record_id: "r3" }
        LeaseTaken { duration_ms: 2500, holder: "vm-2", name: "agizo", term: 2 }
        Rejected { offset: 5, reason: LeaseHeld { expires_unix_ms: 6500, holder: "vm-2", name: "agizo", term: 2 }, record_id: "r5" }
        LeaseTaken { duration_ms: 2500, holder: "vm-2", name: "agizo", term: 3 }"#]].assert_eq(&fold_all(&records).1);
}

/// Records beyond a gap must not be applied to a state that lacks earlier records.
#[test]
fn gap_is_closed_only_by_a_checkpoint_that_covers_it() {
    let records = two_roll_outs();
    let (late, _) = fold_all(&records[..5]);
    let (early, _) = fold_all(&records[..2]);
    let beyond = |fold: &config_fold::ConfigFold| {
        let mut stored = records[4..].to_vec();
        stored.push(checkpoint(fold, 6));
        stored
    };
    let mut fold = new_fold();
    expect![[r#"
        GapFound { expected_offset: 0, found_offset: 4 }
        CheckpointRefused { offset: 6, reason: "inconsistent state: the checkpoint does not cover the gap" }"#]].assert_eq(&apply_all(&mut fold, &beyond(&early)));
    assert_eq!(fold.in_force(), None, "no bundle comes into force");
    expect![[r#"
        CheckpointAdopted { covers_offset: 4 }
        BundleInForce { offset: 2, version: "one" }
        BundleInForce { offset: 5, version: "two" }
        CheckpointTaken { covers_offset: 1, offset: 6 }
        CheckpointTaken { covers_offset: 4, offset: 7 }"#]]
    .assert_eq(&apply_all(&mut fold, &[checkpoint(&late, 7)]));
    let mut complete = records;
    complete.push(checkpoint(&early, 6));
    complete.push(checkpoint(&late, 7));
    assert_eq!(
        fold.state(),
        fold_all(&complete).0.state(),
        "the state equals that of all records from offset 0"
    );
}

/// A checkpoint from a VM that is behind must not revert the bundle in force.
#[test]
fn older_checkpoint_never_replaces_newer_state() {
    let records = two_roll_outs();
    let (older, _) = fold_all(&records[..3]);
    let (mut fold, _) = fold_all(&records);
    let batch = config_fold::RecordBatch {
        content: config_fold::BatchContent::Checkpoint(Box::new(older.snapshot())),
        next_offset: 3,
    };
    let error = fold.apply_batch(&batch).unwrap_err();
    expect!["checkpoint refused: the state is not newer than the current one: its next offset is 3, the current one is 6"]
        .assert_eq(&error.to_string());
    // A checkpoint with a higher offset but an older bundle in force.
    let mut state = older.snapshot();
    state.next_offset = 100;
    let batch = config_fold::RecordBatch {
        content: config_fold::BatchContent::Checkpoint(Box::new(state)),
        next_offset: 100,
    };
    let error = fold.apply_batch(&batch).unwrap_err();
    expect!["checkpoint refused: the state is not newer than the current one: its bundle in force has an older roll-out"]
        .assert_eq(&error.to_string());
    assert_eq!(fold.in_force().unwrap().version, "two");
}

/// A batch with a gap, a different history or a damaged checkpoint must leave the
/// state unchanged.
#[test]
fn batches_that_do_not_continue_the_local_history_are_refused() {
    let records = two_roll_outs();
    let (ahead, _) = fold_all(&records);
    let (mut behind, _) = fold_all(&records[..2]);
    let mut diverged_records = records.clone();
    diverged_records[1].body = fixtures::body("other", fixtures::signed_off("other"));
    let (diverged, _) = fold_all(&diverged_records);
    let mut messages = Vec::new();
    let mut try_batch = |batch: &config_fold::RecordBatch| {
        let error = behind.apply_batch(batch).unwrap_err();
        messages.push(error.to_string());
        assert_eq!(behind.next_offset(), 2, "a refused batch changes nothing");
    };
    try_batch(&ahead.records_from(3, 1_000_000));
    try_batch(&diverged.records_from(1, 1_000_000));
    try_batch(&diverged.records_from(2, 1_000_000));
    let mut incomplete = ahead.records_from(2, 1_000_000);
    if let config_fold::BatchContent::Records { records, .. } = &mut incomplete.content {
        records.remove(1);
    }
    try_batch(&incomplete);
    let open = fixtures::proposed("three", Some("two"), &fixtures::bundle(3_000));
    let mut waiting = ahead.clone();
    waiting.apply(&config_fold::LogRecord {
        appended_unix_ms: 6_000,
        body: fixtures::body("r6", open),
        offset: 6,
    });
    let mut bad_proposal = waiting.snapshot();
    let three = bad_proposal.proposals.get_mut("three").unwrap();
    three.content = "services: 3".to_owned();
    three.digest = bundle::digest(&three.content);
    try_batch(&config_fold::RecordBatch {
        content: config_fold::BatchContent::Checkpoint(Box::new(bad_proposal)),
        next_offset: 7,
    });
    let mut damaged = ahead.snapshot();
    damaged.proposals.get_mut("two").unwrap().content = fixtures::bundle(3_000);
    try_batch(&config_fold::RecordBatch {
        content: config_fold::BatchContent::Checkpoint(Box::new(damaged)),
        next_offset: 6,
    });
    expect![[r#"
        the batch is not contiguous: expected offset 2, found 3
        the batch conflicts with the local history at offset 2
        the batch conflicts with the local history at offset 2
        the batch is not contiguous: expected offset 3, found 4
        checkpoint refused: invalid bundle: bundle `three`: line 1, column 11, field `services`: an unexpected YAML element; expected mapping start
        checkpoint refused: invalid bundle: bundle `two`: its content does not match its digest"#]]
    .assert_eq(&messages.join("\n"));
    behind
        .apply_batch(&ahead.records_from(0, 1_000_000))
        .unwrap();
    assert_eq!(behind.state(), ahead.state());
    let conflict = behind.apply(&diverged_records[1]);
    assert_eq!(
        conflict,
        [config_fold::FoldEvent::HistoryConflict { offset: 1 }]
    );
}

/// A field that is lost in JSON would make a VM that starts from a checkpoint diverge
/// from the other VMs.
#[test]
fn snapshot_restored_from_json_continues_to_the_same_state() {
    let records = two_roll_outs();
    let (expected, _) = fold_all(&records);
    for split in 0..records.len() {
        let (fold, _) = fold_all(&records[..split]);
        let json = serde_json::to_string(&fold.snapshot()).unwrap();
        let state = serde_json::from_str(&json).unwrap();
        let config = configs::ConfigFoldConfig::default();
        let mut fold = config_fold::ConfigFold::from_snapshot(config, state).unwrap();
        apply_all(&mut fold, &records[split..]);
        assert_eq!(fold.state(), expected.state(), "split at {split}");
        assert_eq!(fold.in_force(), expected.in_force());
    }
}

/// A rehearsal must not continue if the operator or the VMs involved have failed.
#[test]
fn rehearsal_ends_at_its_end_time_without_an_end_record() {
    let mut bodies = vec![
        fixtures::proposed("one", None, &fixtures::bundle(1_000)),
        fixtures::signed_off("one"),
        fixtures::rolled_out("one", None),
    ];
    bodies.push(config_fold::RecordBody::RehearsalScheduled {
        duration_ms: 5_000,
        effect: config_fold::RehearsalEffect::DrainServers,
        operator: "asha".to_owned(),
        rehearsal_id: "r".to_owned(),
        server_ids: vec!["agizo-1".to_owned()],
        service: "agizo".to_owned(),
        start_delay_ms: 1_000,
        state_before: None,
    });
    let (fold, _) = fold_all(&fixtures::stored(bodies));
    let rehearsal = &fold.state().rehearsals["r"];
    let running: Vec<bool> = [3_999, 4_000, 8_999, 9_000]
        .into_iter()
        .map(|log_unix_ms| rehearsal.is_running_at(log_unix_ms))
        .collect();
    assert_eq!(running, [false, true, true, false]);
}
