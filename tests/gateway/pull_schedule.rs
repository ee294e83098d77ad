//! Tests of when a VM pulls newer state from which other VM.

use foxtailwinch::gateway;

const OTHER_REGION: gateway::PullCandidate = gateway::PullCandidate {
    is_newer: true,
    is_same_region: false,
    puller: gateway::Puller::Updating,
};
const SAME_REGION: gateway::PullCandidate = gateway::PullCandidate {
    is_same_region: true,
    ..OTHER_REGION
};

/// Guards against a saturated link between regions: fifty VMs pulled 1,500 routes
/// from another region at once, and four seconds later some VMs still refused
/// requests on these routes.
#[test]
fn vm_waits_for_its_own_region_before_it_pulls_from_another() {
    let mut pulls = gateway::PullSchedule::default();
    assert!(!pulls.try_begin(0, OTHER_REGION), "not at once");
    assert!(!pulls.try_begin(300, OTHER_REGION));
    assert!(
        pulls.try_begin(310, SAME_REGION),
        "a VM of the region has the newer state"
    );
}

/// Guards against a region that stays outdated because the VMs that read the
/// store wait like the other VMs.
#[test]
fn store_reader_pulls_from_another_region_at_once() {
    let mut pulls = gateway::PullSchedule::default();
    let reader = gateway::PullCandidate {
        puller: gateway::Puller::Reader,
        ..OTHER_REGION
    };
    assert!(pulls.try_begin(0, reader));
}

/// Guards against a VM that waits forever if no VM of its region gets the newer
/// state, and against a second wait after a failed pull.
#[test]
fn vm_that_stays_outdated_pulls_from_another_region() {
    let mut pulls = gateway::PullSchedule::default();
    assert!(!pulls.try_begin(0, OTHER_REGION));
    assert!(pulls.try_begin(700, OTHER_REGION));
    pulls.end_pull(false);
    assert!(
        pulls.try_begin(800, OTHER_REGION),
        "no further wait after a pull without a response"
    );
    pulls.end_pull(true);
    assert!(
        !pulls.try_begin(900, OTHER_REGION),
        "outdated again: a new wait"
    );
}

/// Guards against concurrent pulls of the same state.
#[test]
fn one_pull_at_a_time() {
    let mut pulls = gateway::PullSchedule::default();
    assert!(pulls.try_begin(0, SAME_REGION));
    assert!(!pulls.try_begin(10, SAME_REGION));
    pulls.end_pull(true);
    assert!(pulls.try_begin(20, SAME_REGION));
}

/// Guards against a pull for each announcement of a state that the VM already
/// has.
#[test]
fn announcement_without_newer_state_starts_no_pull() {
    let mut pulls = gateway::PullSchedule::default();
    let known = gateway::PullCandidate {
        is_newer: false,
        ..SAME_REGION
    };
    assert!(!pulls.try_begin(0, known));
}

/// Guards against a link between regions that carries the complete registry once for
/// each VM of a fleet that starts: 150 VMs pulled 3,000 servers each from the other
/// region while the readers of their own region were still reading them.
#[test]
fn vm_without_state_leaves_the_readers_of_its_region_time_to_read_it() {
    let mut pulls = gateway::PullSchedule::default();
    let starting = gateway::PullCandidate {
        puller: gateway::Puller::Starting,
        ..OTHER_REGION
    };
    assert!(!pulls.try_begin(0, starting));
    assert!(!pulls.try_begin(2_400, starting));
    assert!(pulls.try_begin(2_500, starting), "the region has no source");
}
