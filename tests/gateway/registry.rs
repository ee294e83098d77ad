//! Tests of how the registry passes from the store to the VMs and between them.

use foxtailwinch::gateway;
use foxtailwinch::ports;

use crate::fixtures;

/// Pulls the rows that `from` has and `to` lacks.
fn pull(now_ms: u64, to: &mut gateway::BackendTable, from: &gateway::BackendTable) {
    let needs_full_table = from.needs_full_table(to.revision());
    let since = if needs_full_table { 0 } else { to.revision() };
    let update = gateway::TableUpdate {
        is_complete: needs_full_table,
        next_offset: from.next_offset().unwrap_or(0),
        revision: from.revision(),
        rows: from.rows_since(now_ms, since, None, usize::MAX),
    };
    to.merge(now_ms, update);
}

/// Guards against a server at offset 0 that was missing on every VM that pulled
/// the registry from a peer (found with load `mix`, seed 567548798600).
#[test]
fn first_record_of_the_log_reaches_a_vm_that_pulls() {
    let mut reader = gateway::BackendTable::default();
    let first = fixtures::entry(0, "s0", Some(fixtures::backend("s0")));
    reader.apply_changes(0, fixtures::page(vec![first]));
    let mut other = gateway::BackendTable::default();

    pull(0, &mut other, &reader);

    assert_eq!(fixtures::ids(&other), ["s0"]);
}

/// Guards against a lost removal: the reader did not have the server and
/// dropped its removal, and other VMs sent it requests 2,690 ms later (found
/// with load `mix`, seed 567548798600).
#[test]
fn removal_is_passed_on_by_a_vm_that_never_knew_the_server() {
    let mut knows = gateway::BackendTable::default();
    let first = fixtures::entry(0, "s0", Some(fixtures::backend("s0")));
    knows.apply_changes(0, fixtures::page(vec![first]));
    let mut reader = gateway::BackendTable::default();
    let removal = fixtures::entry(1, "s0", None);
    let later = fixtures::entry(2, "s1", Some(fixtures::backend("s1")));
    reader.apply_changes(0, fixtures::page(vec![removal, later]));

    pull(0, &mut knows, &reader);

    assert_eq!(fixtures::ids(&knows), ["s1"]);
}

/// Guards against requests to a server that has left: only removals after an
/// outage of the store are deferred.
#[test]
fn removal_without_an_outage_takes_effect_at_once() {
    let mut table = gateway::BackendTable::default();
    table.confirm(0, 0);
    let joins = fixtures::entry(0, "s0", Some(fixtures::backend("s0")));
    table.apply_changes(0, fixtures::page(vec![joins]));
    table.confirm(1_000, 1_000);

    table.apply_changes(1_000, fixtures::page(vec![fixtures::entry(1, "s0", None)]));

    assert!(fixtures::ids(&table).is_empty());
}

/// Guards against the loss of all servers after an outage of the store, during
/// which their entries expired because they could not be renewed.
#[test]
fn servers_dropped_in_an_outage_have_two_seconds_to_register_again() {
    let mut table = gateway::BackendTable::default();
    table.confirm(0, 0);
    let joins = ["s0", "s1"].iter().zip(0..);
    let joins = joins.map(|(id, at)| fixtures::entry(at, id, Some(fixtures::backend(id))));
    table.apply_changes(0, fixtures::page(joins.collect()));
    // The store is unavailable for nine seconds. Both entries expire meanwhile.
    table.record_read_failure(5_000);
    table.confirm(9_000, 9_000);
    let removals = vec![
        fixtures::entry(2, "s0", None),
        fixtures::entry(3, "s1", None),
    ];
    table.apply_changes(9_000, fixtures::page(removals));
    assert_eq!(fixtures::ids(&table), ["s0", "s1"]);

    let registered_again = fixtures::entry(4, "s0", Some(fixtures::backend("s0")));
    table.apply_changes(10_000, fixtures::page(vec![registered_again]));
    table.tick(10_999);
    assert_eq!(fixtures::ids(&table), ["s0", "s1"]);
    table.tick(11_000);

    assert_eq!(fixtures::ids(&table), ["s0"]);
}

/// Returns a reader just after an outage of the store. It has `s0`, whose removal
/// is deferred, and `s1`, which registered later.
fn reader_after_an_outage() -> gateway::BackendTable {
    let mut reader = gateway::BackendTable::default();
    reader.confirm(0, 0);
    let joins = fixtures::entry(0, "s0", Some(fixtures::backend("s0")));
    reader.apply_changes(0, fixtures::page(vec![joins]));
    reader.record_read_failure(5_000);
    reader.confirm(9_000, 9_000);
    let later = vec![
        fixtures::entry(1, "s0", None),
        fixtures::entry(2, "s1", Some(fixtures::backend("s1"))),
    ];
    reader.apply_changes(9_000, fixtures::page(later));
    reader
}

/// Guards against a lost removal: VMs that pulled from a reader with a deferred
/// removal never received the removal, and sent the server requests 3,351 ms after
/// it had left.
#[test]
fn deferred_removal_takes_effect_on_vms_that_pulled_it() {
    let reader = reader_after_an_outage();
    let mut other = gateway::BackendTable::default();
    let joins = fixtures::entry(0, "s0", Some(fixtures::backend("s0")));
    other.apply_changes(0, fixtures::page(vec![joins]));

    pull(9_500, &mut other, &reader);
    other.tick(10_999);
    assert_eq!(fixtures::ids(&other), ["s0", "s1"]);
    other.tick(11_000);

    assert_eq!(fixtures::ids(&other), ["s1"]);
}

/// Guards against a removal that stays deferred although a VM that saw no outage
/// has applied it.
#[test]
fn deferred_removal_is_confirmed_by_a_vm_that_saw_no_outage() {
    let mut reader = reader_after_an_outage();
    let mut without_outage = gateway::BackendTable::default();
    let all = vec![
        fixtures::entry(0, "s0", Some(fixtures::backend("s0"))),
        fixtures::entry(1, "s0", None),
        fixtures::entry(2, "s1", Some(fixtures::backend("s1"))),
        fixtures::entry(3, "s2", Some(fixtures::backend("s2"))),
    ];
    without_outage.apply_changes(9_000, fixtures::page(all));
    let update = gateway::TableUpdate {
        is_complete: false,
        next_offset: 4,
        revision: without_outage.revision(),
        rows: without_outage.rows_since(9_100, 0, None, usize::MAX),
    };

    reader.merge(9_100, update);

    assert_eq!(fixtures::ids(&reader), ["s1", "s2"]);
}

/// Guards against a false outage: a VM whose table was not confirmed as complete
/// for two seconds assumed an outage of the store.
#[test]
fn gap_without_a_failed_read_is_no_outage() {
    let mut table = gateway::BackendTable::default();
    table.confirm(0, 0);
    let joins = fixtures::entry(0, "s0", Some(fixtures::backend("s0")));
    table.apply_changes(0, fixtures::page(vec![joins]));
    table.confirm(9_000, 9_000);

    table.apply_changes(9_000, fixtures::page(vec![fixtures::entry(1, "s0", None)]));

    assert!(fixtures::ids(&table).is_empty());
}

/// Guards against one malformed record that makes a VM drop or ignore the
/// records of other servers.
#[test]
fn unreadable_record_removes_only_its_own_server() {
    let mut table = gateway::BackendTable::default();
    let joins = ["s0", "s1"].iter().zip(0..);
    let joins = joins.map(|(id, at)| fixtures::entry(at, id, Some(fixtures::backend(id))));
    table.apply_changes(0, fixtures::page(joins.collect()));
    let unreadable = ports::FeedEntry {
        key: "s0".to_owned(),
        offset: 2,
        value: Err("no slots".to_owned()),
    };

    let changes = table.apply_changes(0, fixtures::page(vec![unreadable]));

    assert_eq!(fixtures::ids(&table), ["s1"]);
    assert_eq!(changes[0].fault.as_deref(), Some("no slots"));
}

/// Guards against evidence about the previous process of a server that counts
/// for its new process.
#[test]
fn restart_under_the_same_id_is_another_incarnation() {
    let first = fixtures::backend("s0");
    let again = ports::Backend {
        born_unix_ms: 2_000,
        ..first.clone()
    };

    assert_ne!(first.incarnation(), again.incarnation());
}

/// Guards against a new revision, and so a pull by every VM, for each renewal
/// of a warming server's record.
#[test]
fn decreasing_warm_up_time_is_no_change() {
    let mut table = gateway::BackendTable::default();
    let warming = ports::Backend {
        warmup_left_ms: 3_000,
        ..fixtures::backend("s0")
    };
    table.apply_changes(
        0,
        fixtures::page(vec![fixtures::entry(0, "s0", Some(warming))]),
    );
    let warm = fixtures::entry(1, "s0", Some(fixtures::backend("s0")));

    let changes = table.apply_changes(0, fixtures::page(vec![warm]));

    assert!(changes.is_empty());
    assert_eq!(table.revision(), 1);
}

/// Guards against requests to a server whose removal was in the lost part of
/// the store's history.
#[test]
fn full_read_after_a_lost_history_removes_unlisted_servers() {
    let mut table = gateway::BackendTable::default();
    let joins = ["s0", "s1"].iter().zip(0..);
    let joins = joins.map(|(id, at)| fixtures::entry(at, id, Some(fixtures::backend(id))));
    table.apply_changes(0, fixtures::page(joins.collect()));
    let newest = ports::FeedPage {
        entries: vec![fixtures::entry(1, "s1", Some(fixtures::backend("s1")))],
        is_at_end: true,
        next_offset: 7,
    };

    table.apply_newest(0, newest);

    assert_eq!(fixtures::ids(&table), ["s1"]);
}

/// Guards against a VM that keeps a removed server because its peer has already
/// dropped the record of the removal.
#[test]
fn vm_behind_dropped_removals_pulls_the_full_table() {
    let mut reader = gateway::BackendTable::default();
    let joins = fixtures::entry(0, "s0", Some(fixtures::backend("s0")));
    reader.apply_changes(0, fixtures::page(vec![joins]));
    let mut other = reader.clone();
    let later = vec![
        fixtures::entry(1, "s0", None),
        fixtures::entry(2, "s1", Some(fixtures::backend("s1"))),
    ];
    reader.apply_changes(0, fixtures::page(later));
    reader.tick(700_000);

    assert!(reader.needs_full_table(other.revision()));
    pull(700_000, &mut other, &reader);

    assert_eq!(fixtures::ids(&other), ["s1"]);
}

/// Guards against a change that is lost because it was made while the rows were
/// sent in several replies: the row of the last reply had a later revision than the
/// change, and the VM never asked for it again.
#[test]
fn change_during_a_pull_in_several_replies_is_pulled_next() {
    let mut source = gateway::BackendTable::default();
    let ids = ["s0", "s1", "s2", "s3"];
    let records = (0..).zip(ids);
    let records =
        records.map(|(offset, id)| fixtures::entry(offset, id, Some(fixtures::backend(id))));
    source.apply_changes(0, fixtures::page(records.collect()));
    let mut other = gateway::BackendTable::default();

    let revision = source.revision();
    let mut rows = source.rows_since(0, 0, None, 2);
    assert_eq!(rows.keys().collect::<Vec<_>>(), ["s0", "s1"]);
    let removal = fixtures::entry(4, "s0", None);
    let replacement = fixtures::entry(5, "s4", Some(fixtures::backend("s4")));
    source.apply_changes(0, fixtures::page(vec![removal, replacement]));
    rows.extend(source.rows_since(0, 0, Some("s1"), 10));
    let update = gateway::TableUpdate {
        is_complete: false,
        next_offset: 4,
        revision,
        rows,
    };
    other.merge(0, update);
    assert_eq!(fixtures::ids(&other), ["s0", "s1", "s2", "s3", "s4"]);

    pull(0, &mut other, &source);

    assert_eq!(fixtures::ids(&other), ["s1", "s2", "s3", "s4"]);
}
