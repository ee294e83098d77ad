//! Tests of the full read of a feed, page by page.

use foxtailwinch::gateway;
use foxtailwinch::ports;

use crate::fixtures;

fn page(ids: &[&str], end_offset: u64, has_more: bool) -> ports::NewestPage<ports::Backend> {
    let entries = ids
        .iter()
        .map(|id| fixtures::entry(1, id, Some(fixtures::backend(id))));
    let last_key = ids.last().map(|id| (*id).to_owned());
    ports::NewestPage {
        end_offset,
        entries: entries.collect(),
        next_after_key: last_key.filter(|_| has_more),
    }
}

fn refused() -> ports::StoreError {
    ports::StoreError::Refused { status: 429 }
}

/// Guards against a read of many pages that starts over when the store refuses one
/// call, and against a change that is lost because it was made while later pages
/// were read.
#[test]
fn read_continues_after_a_refused_page() {
    let mut read = gateway::FullRead::default();
    assert_eq!(read.add_page(page(&["s0", "s1"], 7, true)), Ok(None));
    assert!(read.record_failure(&refused()));
    assert_eq!(read.after_key().as_deref(), Some("s1"));
    let complete = read.add_page(page(&["s2"], 9, false)).expect("a page");
    let complete = complete.expect("the last page");
    let keys: Vec<&str> = complete.entries.iter().map(|e| e.key.as_str()).collect();
    assert_eq!((keys, complete.next_offset), (vec!["s0", "s1", "s2"], 7));
}

/// Guards against an outage of the store that is noticed only after several calls,
/// and against a read that is repeated for ever.
#[test]
fn first_page_is_not_repeated_and_others_a_few_times() {
    let mut read = gateway::FullRead::<ports::Backend>::default();
    assert!(!read.record_failure(&refused()));
    let mut read = gateway::FullRead::default();
    assert_eq!(read.add_page(page(&["s0"], 7, true)), Ok(None));
    let repeated = (0..10).take_while(|_| read.record_failure(&refused()));
    assert_eq!(repeated.count(), 3);
}

/// Guards against a read without end: a store that does not understand the key
/// returns the first page again and again.
#[test]
fn page_that_begins_again_ends_the_read() {
    let mut read = gateway::FullRead::default();
    assert_eq!(read.add_page(page(&["s0", "s1"], 7, true)), Ok(None));
    assert!(read.add_page(page(&["s0", "s1"], 7, true)).is_err());
}
