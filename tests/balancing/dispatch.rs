//! Tests of dispatchers and their clients.

use foxtailwinch::balancing;
use foxtailwinch::configs;
use foxtailwinch::state_machine::StateMachine as _;
use proptest::test_runner;

const SEED: u64 = 20_261_204;

fn server(server_id: &str, slot_count: u32) -> balancing::DispatcherServer {
    balancing::DispatcherServer {
        cold_since_ms: None,
        draining: false,
        server_id: server_id.to_owned(),
        slot_count,
        weight_permille: 1_000,
    }
}

fn dispatcher(servers: Vec<balancing::DispatcherServer>) -> balancing::Dispatcher {
    let config = configs::balancing::BalancingConfig {
        grant_queue_requests: 4,
        ..configs::balancing::BalancingConfig::default()
    };
    let admission_config = configs::admission::AdmissionConfig::default();
    let mut dispatcher = balancing::Dispatcher::new(&config, &admission_config, SEED);
    dispatcher.handle(0, balancing::DispatcherEvent::ServersChanged { servers });
    dispatcher
}

fn request_grant(from: &str, request_id: u64, deadline_ms: u64) -> balancing::DispatcherEvent {
    balancing::DispatcherEvent::GrantRequested {
        deadline_ms,
        excluded_server_id: None,
        expected_run_ms: 10,
        from: from.to_owned(),
        message_id: request_id,
        request_id,
    }
}

fn return_grant(from: &str, request_id: u64) -> balancing::DispatcherEvent {
    balancing::DispatcherEvent::GrantReturned {
        from: from.to_owned(),
        request_id,
    }
}

fn render(now_ms: u64, actions: &[balancing::DispatcherAction]) -> String {
    let lines = actions.iter().map(|action| match action {
        balancing::DispatcherAction::Grant {
            request_id,
            server_id,
            to,
            ..
        } => format!("{now_ms}: grant {to} {request_id} on {server_id}\n"),
        balancing::DispatcherAction::Queued { request_id, to, .. } => {
            format!("{now_ms}: queue {to} {request_id}\n")
        }
        balancing::DispatcherAction::Refuse {
            refusal,
            request_id,
            to,
            ..
        } => format!(
            "{now_ms}: refuse {to} {request_id} {}\n",
            refusal.reason.as_str()
        ),
    });
    lines.collect()
}

/// A repeated request must not occupy a second slot, and a returned slot must
/// go to the queued request that has to start first.
#[test]
fn slots_are_counted_exactly_and_the_most_urgent_request_goes_next() {
    let mut dispatcher = dispatcher(vec![server("s", 1)]);
    let steps = [
        (0, request_grant("vm-1", 1, 1_000)),
        (1, request_grant("vm-1", 1, 1_000)),
        (2, request_grant("vm-2", 1, 900)),
        (2, request_grant("vm-3", 1, 500)),
        (2, request_grant("vm-4", 1, 31)),
        (2, request_grant("vm-5", 1, 10)),
        (17, balancing::DispatcherEvent::Tick),
        (40, return_grant("vm-1", 1)),
        (50, return_grant("vm-3", 1)),
        (60, return_grant("vm-2", 1)),
    ];
    let rendered: String = steps
        .into_iter()
        .map(|(now_ms, event)| render(now_ms, &dispatcher.handle(now_ms, event)))
        .collect();
    expect_test::expect![[r"
        0: grant vm-1 1 on s
        1: grant vm-1 1 on s
        2: queue vm-2 1
        2: queue vm-3 1
        2: queue vm-4 1
        2: refuse vm-5 1 deadline-exceeded
        17: refuse vm-4 1 deadline-exceeded
        40: grant vm-3 1 on s
        50: grant vm-2 1 on s
    "]]
    .assert_eq(&rendered);
    assert_eq!(dispatcher.granted_slots(), 0);
}

/// A lost return message or a crashed entry VM must not leak a slot.
#[test]
fn unreturned_slots_are_reclaimed_after_the_deadline() {
    let mut dispatcher = dispatcher(vec![server("s", 1)]);
    dispatcher.handle(0, request_grant("vm-1", 1, 100));
    let wakeup_ms = dispatcher.next_wakeup_ms().expect("a granted slot expires");
    dispatcher.handle(wakeup_ms, balancing::DispatcherEvent::Tick);
    assert_eq!(dispatcher.granted_slots(), 0);
}

/// Guards against new requests to a draining server, and against revoking the
/// slots of its requests in flight.
#[test]
fn draining_servers_get_no_new_grants_and_keep_existing_ones() {
    let mut dispatcher = dispatcher(vec![server("s", 2)]);
    dispatcher.handle(0, request_grant("vm-1", 1, 1_000));
    let mut draining = server("s", 2);
    draining.draining = true;
    let servers = vec![draining];
    dispatcher.handle(1, balancing::DispatcherEvent::ServersChanged { servers });
    let actions = dispatcher.handle(2, request_grant("vm-1", 2, 1_000));
    let queued = matches!(actions[..], [balancing::DispatcherAction::Queued { .. }]);
    assert!(queued, "{actions:?}");
    assert_eq!(dispatcher.granted_slots(), 1);
}

/// Step of a random run: elapsed milliseconds, kind of event, request id and
/// milliseconds until the deadline of the request.
type Step = (u64, u8, u64, u64);

/// Runs random steps with duplicate and late messages, and checks that no
/// server has more grants than slots and that no request is queued while a slot
/// is free.
fn check_random_run(steps: Vec<Step>) -> Result<(), test_runner::TestCaseError> {
    let slots = [("a", 2), ("b", 1), ("c", 3)];
    let servers = slots.map(|(server_id, slot_count)| server(server_id, slot_count));
    let mut dispatcher = dispatcher(servers.to_vec());
    let mut now_ms = 0;
    let mut held = indexmap::IndexMap::<u64, (String, u64)>::new();
    for (wait_ms, kind, request_id, left_ms) in steps {
        now_ms += wait_ms;
        held.retain(|_, (_, expires_ms)| *expires_ms > now_ms);
        let deadline_ms = now_ms + left_ms;
        let event = match kind {
            0..=3 => request_grant("vm", request_id, deadline_ms),
            4..=5 => {
                held.swap_remove(&request_id);
                return_grant("vm", request_id)
            }
            _ => balancing::DispatcherEvent::Tick,
        };
        for action in dispatcher.handle(now_ms, event) {
            if let balancing::DispatcherAction::Grant {
                request_id,
                server_id,
                ..
            } = action
            {
                // A grant is held at least until the deadline of its request,
                // and therefore at least until now.
                let grant = held
                    .entry(request_id)
                    .or_insert((server_id.clone(), now_ms));
                proptest::prop_assert_eq!(&grant.0, &server_id, "one server per request");
            }
        }
        for (server_id, slot_count) in slots {
            let grants = held.values().filter(|(holder, _)| holder == server_id);
            proptest::prop_assert!(grants.count() <= slot_count as usize);
        }
        let busy = dispatcher.granted_slots() == 6;
        proptest::prop_assert!(busy || dispatcher.queued_requests() == 0);
        proptest::prop_assert!(dispatcher.queued_requests() <= 4);
    }
    Ok(())
}

#[test]
fn random_runs_never_grant_a_slot_twice() {
    let step = (0..20_u64, 0..7_u8, 0..20_u64, 0..200_u64);
    let config = test_runner::Config {
        cases: 400,
        failure_persistence: None,
        rng_seed: test_runner::RngSeed::Fixed(SEED),
        ..test_runner::Config::default()
    };
    let mut runner = test_runner::TestRunner::new(config);
    let steps = proptest::collection::vec(step, 1..200);
    let outcome = runner.run(&steps, check_random_run);
    outcome.expect("no slot is granted twice");
}

fn grant_needed(request_id: u64) -> balancing::GrantClientEvent {
    balancing::GrantClientEvent::GrantNeeded {
        deadline_ms: 1_000,
        excluded_server_id: None,
        expected_run_ms: 10,
        request_id,
    }
}

fn granted(request_id: u64) -> balancing::GrantClientEvent {
    balancing::GrantClientEvent::Granted {
        request_id,
        server_id: "s".to_owned(),
    }
}

fn render_client(now_ms: u64, actions: &[balancing::GrantClientAction]) -> String {
    let lines = actions.iter().map(|action| match action {
        balancing::GrantClientAction::Refuse { request_id, .. } => {
            format!("{now_ms}: refuse {request_id}\n")
        }
        balancing::GrantClientAction::SendGrantRequest { request_id, .. } => {
            format!("{now_ms}: request {request_id}\n")
        }
        balancing::GrantClientAction::SendGrantReturn { request_id } => {
            format!("{now_ms}: return {request_id}\n")
        }
        balancing::GrantClientAction::UseOwnPicker { request_id } => {
            format!("{now_ms}: own picker {request_id}\n")
        }
        balancing::GrantClientAction::UseServer {
            request_id,
            server_id,
        } => format!("{now_ms}: use {server_id} for {request_id}\n"),
    });
    lines.collect()
}

/// A failed dispatcher must not delay requests beyond the timeout, and a grant
/// that arrives after the fallback must not leak a slot.
#[test]
fn client_falls_back_when_its_dispatcher_is_lost_and_returns_late_grants() {
    let config = configs::balancing::BalancingConfig::default();
    let mut client = balancing::GrantClient::new(&config);
    let steps = [
        (0, grant_needed(1)),
        (2, granted(1)),
        (3, grant_needed(2)),
        (4, balancing::GrantClientEvent::Queued { request_id: 2 }),
        (104, balancing::GrantClientEvent::Tick),
        (114, balancing::GrantClientEvent::Tick),
        (115, grant_needed(3)),
        (200, granted(2)),
        (201, balancing::GrantClientEvent::Finish { request_id: 1 }),
        (202, balancing::GrantClientEvent::Finish { request_id: 2 }),
        (203, balancing::GrantClientEvent::Finish { request_id: 3 }),
        (204, grant_needed(4)),
    ];
    let rendered: String = steps
        .into_iter()
        .map(|(now_ms, event)| render_client(now_ms, &client.handle(now_ms, event)))
        .collect();
    expect_test::expect![[r"
        0: request 1
        2: use s for 1
        3: request 2
        104: request 2
        114: own picker 2
        115: own picker 3
        200: return 2
        201: return 1
        204: request 4
    "]]
    .assert_eq(&rendered);
    assert_eq!(client.fallback_requests(), 2);
}
