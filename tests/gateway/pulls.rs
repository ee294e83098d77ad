//! From whom a VM takes newer knowledge.

use foxtailwinch::gateway;

const FAR: gateway::PullCandidate = gateway::PullCandidate {
    can_pull_across_regions: false,
    is_same_region: false,
    is_newer: true,
};
const NEAR: gateway::PullCandidate = gateway::PullCandidate {
    is_same_region: true,
    ..FAR
};

/// Seen on the bench (hunt-220a-3 at the grown Tazas): fifty VMs asked another
/// region for 1,500 routes at once; the link was full, and four seconds later
/// some still refused requests on these routes.
#[test]
fn vms_wait_for_their_own_region_first() {
    let mut pulls = gateway::PullSchedule::default();
    assert!(!pulls.try_begin(0, FAR), "not at once");
    assert!(!pulls.try_begin(300, FAR));
    assert!(pulls.try_begin(310, NEAR), "a VM of the region has it");
}

#[test]
fn those_that_follow_the_store_ask_another_region_at_once() {
    let mut pulls = gateway::PullSchedule::default();
    let can_pull_across_regions = gateway::PullCandidate {
        can_pull_across_regions: true,
        ..FAR
    };
    assert!(pulls.try_begin(0, can_pull_across_regions));
}

#[test]
fn vm_that_stays_behind_asks_another_region() {
    let mut pulls = gateway::PullSchedule::default();
    assert!(!pulls.try_begin(0, FAR));
    assert!(pulls.try_begin(700, FAR));
    pulls.end(false);
    assert!(
        pulls.try_begin(800, FAR),
        "no answer: at once from another VM"
    );
    pulls.end(true);
    assert!(!pulls.try_begin(900, FAR), "behind anew");
}

#[test]
fn one_pull_at_a_time() {
    let mut pulls = gateway::PullSchedule::default();
    assert!(pulls.try_begin(0, NEAR));
    assert!(!pulls.try_begin(10, NEAR));
    pulls.end(true);
    assert!(pulls.try_begin(20, NEAR));
}

#[test]
fn old_news_are_nothing_to_ask_for() {
    let mut pulls = gateway::PullSchedule::default();
    let known = gateway::PullCandidate {
        is_newer: false,
        ..NEAR
    };
    assert!(!pulls.try_begin(0, known));
}
