//! A machine is stopped in a planned way. Some clients that connected before its listener
//! closed take a while to send the heads of their requests. The process takes such a request
//! and passes it on while it is about to exit.

#[path = "../standins-3/support.rs"]
mod support;

use std::io::Write as _;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use support::{MessageReader, Record, Server, Store, Vm};

const DEADLINE_MS: u64 = 6_000;
const RUN_MS: u64 = 160;
const CLIENTS: u64 = 10;
/// The clients connect from this time after the SIGTERM on, one after the other.
const FIRST_CONNECT_MS: u64 = 1_900;
const CONNECT_STEP_MS: u64 = 40;
/// Time that each client takes for its head, well below `headerTimeoutMs` (3,000).
const FIRST_HEAD_MS: u64 = 900;
const HEAD_STEP_MS: u64 = 195;

#[derive(Clone, Debug)]
struct Outcome {
    id: String,
    answer: Option<u16>,
}

fn main() {
    support::start_watchdog();
    let record = Record::new(&support::case_folder());
    let store = Store::start();
    let servers: Vec<Server> = (0..2)
        .map(|number| Server::start(&record, &format!("i-{number}"), support::sound_with(|_| RUN_MS)))
        .collect();
    for server in &servers {
        store.put("keyed.servers", &server.id, &server.entry("ready", 1));
    }
    store.put("keyed.op", "config", &support::configuration(1, 6_000));
    let ip = support::unused_ip();
    let mut vm = match Vm::start("front-0", ip, store.address, &[ip]) {
        Ok(vm) => vm,
        Err(error) => support::end(&record, (), support::NOT_RUN, &format!("not run: {error}")),
    };
    if !support::wait_until(|| vm.is_ready()) {
        support::end(&record, vm, support::NOT_RUN, "not run: the machine is not ready");
    }
    let front = vm.front;
    for number in 0..40 {
        let id = format!("early-{number}");
        let _ = support::send(front, "POST", &format!("/buy/{id}"), &id, DEADLINE_MS, b"order");
    }
    let stopped_ms = record.now_ms();
    if support::has_trouble() {
        vm.terminate();
        record.note_at(stopped_ms, "front-0 gets SIGTERM");
    }
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, outcomes) = (record.clone(), Arc::clone(&outcomes));
            thread::spawn(move || {
                let id = format!("order-{number}");
                record.sleep_until(stopped_ms + FIRST_CONNECT_MS + number * CONNECT_STEP_MS);
                let Ok(mut stream) = support::connect(front) else { return };
                let head = support::request_head("POST", &format!("/buy/{id}"), &id, DEADLINE_MS, 0);
                let (first, second) = head.split_at(head.len() / 2);
                if stream.write_all(first.as_bytes()).is_err() {
                    return;
                }
                record.note(format!("{id}: connected, first half of the head is sent"));
                thread::sleep(Duration::from_millis(FIRST_HEAD_MS + number * HEAD_STEP_MS));
                let sent = stream.write_all(second.as_bytes());
                record.note(format!("{id}: second half of the head: {sent:?}"));
                let answer = MessageReader::new(stream).read_response();
                record.note(format!(
                    "{id}: {}",
                    match &answer {
                        Ok(Some(answer)) => format!("answered {}", answer.status()),
                        Ok(None) => "the connection ends without an answer".to_owned(),
                        Err(error) => format!("the connection ends without an answer: {error}"),
                    }
                ));
                let answer = answer.ok().flatten().map(|answer| answer.status());
                outcomes.lock().unwrap().push(Outcome { id, answer });
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    if support::has_trouble() && !support::wait_until(|| vm.has_ended()) {
        support::end(&record, vm, support::NOT_RUN, "not run: the process does not end");
    }
    let arrivals: Vec<(u64, String, String)> =
        servers.iter().flat_map(|server| server.arrivals.lock().unwrap().clone()).collect();
    let finished: Vec<String> =
        servers.iter().flat_map(|server| server.finished.lock().unwrap().clone()).collect();
    let outcomes = outcomes.lock().unwrap().clone();
    let answered = outcomes.iter().filter(|outcome| outcome.answer == Some(200)).count();
    // Passed on to a sound server, and ended without its answer.
    let mut lost = Vec::new();
    for outcome in outcomes.iter().filter(|outcome| outcome.answer != Some(200)) {
        if let Some((at_ms, id, _)) = arrivals.iter().find(|(_, id, _)| *id == outcome.id) {
            let answer = outcome.answer.map_or("cut".to_owned(), |status| status.to_string());
            let has_run = if finished.contains(id) { "run" } else { "not run to its end" };
            let at_ms = at_ms - stopped_ms;
            lost.push(format!("{id} ({at_ms} ms after the SIGTERM, {answer}, {has_run})"));
        }
    }
    let result = format!(
        "{} orders were sent, {answered} got their server's answer; passed on to a server that \
         was at work, and broken off: {lost:?}",
        outcomes.len()
    );
    let code = if lost.is_empty() { support::HELD } else { support::BROKEN };
    support::end(&record, vm, code, &result)
}
