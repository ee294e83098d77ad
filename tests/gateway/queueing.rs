//! Tests of the queue of requests that wait for a free slot.

use foxtailwinch::admission;
use foxtailwinch::configs;
use foxtailwinch::gateway;
use foxtailwinch::ports;
use proptest::test_runner;

use crate::fixtures;

const RNG_SEED: u64 = 20_261_204;

fn pool(backends: Vec<ports::Backend>) -> gateway::BackendPool {
    let config = configs::GatewayConfig::default();
    let mut pool = gateway::BackendPool::new(config.suspicion, config.server_use, 700);
    let backends = fixtures::shared(backends);
    pool.set_backends(0, backends.iter());
    pool
}

fn server(id: &str, region: &str, slot_count: u32) -> ports::Backend {
    ports::Backend {
        availability_zone: format!("{region}-1"),
        region: region.to_owned(),
        slot_count,
        ..fixtures::backend(id)
    }
}

const fn request(excluded: &[u64]) -> gateway::ChoiceRequest<'_> {
    gateway::ChoiceRequest {
        availability_zone: "a-1",
        may_retry: false,
        random_value: 0.5,
        excluded,
        region: "a",
        region_cost: 1.2,
        service: "shop",
        zone_cost: 0.3,
    }
}

fn report(incarnation: u64, in_flight: u32) -> gateway::LoadReport {
    gateway::LoadReport {
        servers: vec![gateway::ServerLoad {
            in_flight,
            incarnation,
            sent_count: 0,
            success_count: 0,
        }],
        services: Vec::new(),
    }
}

/// Guards against requests that are sent to full servers: the requests of this VM and
/// those that other VMs report take slots, and the reports of a lost VM expire.
#[test]
fn free_slots_are_counted_by_own_and_reported_requests() {
    let mut pool = pool(vec![server("s0", "a", 2), server("s1", "a", 2)]);
    let mut counts = vec![pool.free_slot_count(0, &request(&[]))];
    let first = pool.choose_free(0, &request(&[])).expect("a server");
    counts.push(pool.free_slot_count(0, &request(&[])));
    let peer = "10.0.0.9:1".parse().expect("an address");
    pool.apply_report(0, peer, &report(first.incarnation, 5));
    counts.push(pool.free_slot_count(0, &request(&[])));
    pool.record_request_end(first.incarnation);
    counts.push(pool.free_slot_count(0, &request(&[])));
    counts.push(pool.free_slot_count(1_500, &request(&[])));
    counts.push(pool.free_slot_count(1_500, &request(&[first.incarnation])));
    assert_eq!(counts, [4, 3, 2, 2, 4, 2]);
}

/// Guards against failing or unreachable servers that look free because their requests
/// end at once, and against requests that wait for nothing where there are no others.
#[test]
fn slots_of_servers_in_trouble_count_only_without_others() {
    let ids = ["suspect", "unreachable", "shed", "sound"];
    let mut pool = pool(ids.iter().map(|id| server(id, "a", 2)).collect());
    let incarnation = |id| server(id, "a", 2).incarnation();
    for _ in 0..4 {
        pool.record_evidence(0, incarnation("suspect"), gateway::Evidence::Failure);
    }
    pool.record_unreachable(0, incarnation("unreachable"));
    pool.record_shed(0, incarnation("shed"));
    let sound = incarnation("sound");
    let of_sound = pool.free_slot_count(100, &request(&[]));
    let excluded = [sound, incarnation("shed")];
    let of_others = pool.free_slot_count(100, &request(&excluded));
    let all = ids.map(incarnation);
    let of_none = pool.free_slot_count(100, &request(&all));
    assert_eq!((of_sound, of_others, of_none), (2, 4, u32::MAX));
    assert!(!pool.has_open_server(100, &request(&all)));
    assert!(pool.has_open_server(100, &request(&excluded)));
}

/// Guards against requests that go to another region whose load is unknown, as long as
/// the own region has servers, and against a server chosen without a free slot while
/// another one has one.
#[test]
fn servers_of_another_region_do_not_count_and_free_servers_are_chosen() {
    let far_zone = ports::Backend {
        availability_zone: "a-2".to_owned(),
        ..server("zone", "a", 1)
    };
    let mut pool = pool(vec![
        server("near", "a", 20),
        far_zone,
        server("far", "b", 9),
    ]);
    let near = server("near", "a", 20).incarnation();
    let peer = "10.0.0.9:1".parse().expect("an address");
    pool.apply_report(0, peer, &report(near, 20));
    assert_eq!(pool.free_slot_count(0, &request(&[])), 1);
    let ids: Vec<String> = (0..2)
        .map(|_| pool.choose_free(0, &request(&[])).expect("a server"))
        .map(|choice| choice.backend.id.clone())
        .collect();
    assert_eq!(ids, ["zone", "near"]);
    let zone = server("zone", "a", 1).incarnation();
    assert_eq!(pool.free_slot_count(0, &request(&[near, zone])), 9);
}

fn arrival(request_id: u64, now_ms: u64, time_ms: u64) -> admission::Arrival {
    admission::Arrival {
        deadline_ms: now_ms + time_ms,
        expected_run_ms: 50,
        needed_ms: 0,
        organisation: format!("o{}", request_id % 3),
        priority: u32::try_from(request_id % 2).unwrap_or(0),
        request_id,
        send_by_ms: None,
        weight: 1_000,
    }
}

/// Step of a random run: elapsed milliseconds, kind of event and two parameters.
type Step = (u64, u8, u64, u64);

fn check_random_run(steps: Vec<Step>) -> Result<(), test_runner::TestCaseError> {
    const SLOTS: usize = 3;
    let mut queue = gateway::RequestQueue::new(8, RNG_SEED);
    let mut now_ms = 0;
    let mut next_id = 0;
    let mut waiting = indexmap::IndexSet::new();
    let mut running = indexmap::IndexSet::new();
    for (wait_ms, kind, first, second) in steps {
        now_ms += wait_ms;
        let index = |len: usize| usize::try_from(first).unwrap_or(0) % len;
        let free = |running: usize| u32::try_from(SLOTS - running).unwrap_or(0);
        let actions = match kind {
            0..=4 => {
                next_id += 1;
                waiting.insert(next_id);
                let arrival = arrival(next_id, now_ms, 50 + second);
                queue.arrive(now_ms, arrival, free(running.len()))
            }
            5..=7 if !running.is_empty() => {
                let ended = running.swap_remove_index(index(running.len()));
                let is_served = second.is_multiple_of(2);
                let slots = free(running.len());
                queue.finish(now_ms, ended.unwrap_or_default(), is_served, slots)
            }
            8 if !waiting.is_empty() => {
                let left = waiting.swap_remove_index(index(waiting.len()));
                let slots = free(running.len());
                queue.finish(now_ms, left.unwrap_or_default(), false, slots)
            }
            _ => queue.update(now_ms, free(running.len())),
        };
        for action in actions {
            let (admission::GateAction::Admit { request_id }
            | admission::GateAction::Refuse { request_id, .. }) = action;
            proptest::prop_assert!(waiting.swap_remove(&request_id));
            if matches!(action, admission::GateAction::Admit { .. }) {
                running.insert(request_id);
                queue.record_choice(request_id);
            }
        }
        proptest::prop_assert!(running.len() <= SLOTS, "a slot is given twice");
        proptest::prop_assert_eq!(queue.queued_requests(), waiting.len());
        proptest::prop_assert!(waiting.is_empty() || running.len() == SLOTS);
    }
    Ok(())
}

/// Guards against requests that wait while a slot is free, and against slots that are
/// given twice.
#[test]
fn no_request_waits_while_a_slot_is_free() {
    let step = (0..30_u64, 0..11_u8, 0..1_000_u64, 0..500_u64);
    let config = test_runner::Config {
        cases: 300,
        failure_persistence: None,
        rng_seed: test_runner::RngSeed::Fixed(RNG_SEED),
        ..test_runner::Config::default()
    };
    let mut runner = test_runner::TestRunner::new(config);
    let steps = proptest::collection::vec(step, 1..200);
    let outcome = runner.run(&steps, check_random_run);
    outcome.expect("no request waits while a slot is free");
}

/// Guards against an admitted request whose slot is given to another one before a server
/// has been chosen for it.
#[test]
fn slot_of_an_admitted_request_is_kept_until_its_server_is_chosen() {
    let mut queue = gateway::RequestQueue::new(8, RNG_SEED);
    let admitted = |actions: Vec<admission::GateAction>| actions.len();
    assert_eq!(admitted(queue.arrive(0, arrival(1, 0, 9_000), 1)), 1);
    assert_eq!(admitted(queue.arrive(0, arrival(2, 0, 9_000), 1)), 0);
    assert_eq!(admitted(queue.update(25, 1)), 0);
    queue.record_choice(1);
    assert_eq!(admitted(queue.update(50, 0)), 0);
    assert_eq!(admitted(queue.update(75, 1)), 1);
}

/// Guards against waiting requests that are refused because, for the moment in which
/// another one ends, its slot is not counted.
#[test]
fn end_of_a_request_makes_no_other_one_late() {
    let mut queue = gateway::RequestQueue::new(16, RNG_SEED);
    for request_id in 1..=2 {
        queue.arrive(0, arrival(request_id, 0, 9_000), 2);
        queue.record_choice(request_id);
    }
    // Two slots with runs of 50 ms start ten requests within 250 ms.
    for request_id in 3..=12 {
        let actions = queue.arrive(0, arrival(request_id, 0, 400), 0);
        assert_eq!(actions, [], "{request_id}");
    }
    let actions = queue.finish(50, 1, true, 1);
    let refused = actions
        .iter()
        .filter(|action| matches!(action, admission::GateAction::Refuse { .. }));
    assert_eq!(refused.count(), 0, "{actions:?}");
}
