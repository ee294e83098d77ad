//! The answer to one heartbeat of a server is lost, and the store executes it seconds later:
//! after the server has reported `draining`. The entry then shows the server as `ready` again.

#[path = "../standins-3/support.rs"]
mod support;

use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use support::{Record, Server, Store, Vm};

const DRAIN_MS: u64 = 2_500;
const CONTACT_MS: u64 = 4_000;
const HEARTBEAT_MS: u64 = 1_500;
/// Time after which the store executes the heartbeat without an answer: 1 to 6 s.
const LATE_MS: u64 = 6_000;
/// Time that this check allows beyond `drainMs`, for the clock of the stand-ins.
const TOLERANCE_MS: u64 = 50;
/// Time for which the leaving server still serves after `drainMs`: "a little longer".
const LONGER_MS: u64 = 500;
const RUN_MS: u64 = 460;
const SERVERS: usize = 6;
const MACHINES: usize = 3;
/// Orders come in batches, spread evenly over the machines.
const BATCH_ORDERS: usize = 18;
const BATCH_STEP_MS: u64 = 2_000;
/// Time from the heartbeat to the batch after it.
const FIRST_BATCH_MS: u64 = 800;
const DEADLINE_MS: u64 = 6_000;

fn main() {
    support::start_watchdog();
    let record = Record::new(&support::case_folder());
    let store = Store::start();
    let servers: Vec<Server> = (0..SERVERS)
        .map(|number| Server::start(&record, &format!("i-{number}"), support::sound(RUN_MS)))
        .collect();
    for server in &servers {
        store.put("keyed.servers", &server.id, &server.entry("ready", 1));
    }
    store.put("keyed.op", "config", &support::configuration(1, 6_000));
    let ips: Vec<_> = (0..MACHINES).map(|_| support::unused_ip()).collect();
    let mut vms = Vec::new();
    for (number, ip) in ips.iter().enumerate() {
        match Vm::start(&format!("front-{number}"), *ip, store.address, &ips) {
            Ok(vm) => vms.push(vm),
            Err(error) => support::end(&record, vms, support::NOT_RUN, &format!("not run: {error}")),
        }
    }
    if !support::wait_until(|| vms.iter().all(Vm::is_ready)) {
        support::end(&record, vms, support::NOT_RUN, "not run: the machines are not ready");
    }
    let fronts: Vec<_> = vms.iter().map(|vm| vm.front).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let answers: Arc<Mutex<HashMap<String, String>>> = Arc::default();
    thread::sleep(Duration::from_secs(1));

    // Heartbeats of the leaving server. The entry changes only when more than `sequence` does.
    let leaving = &servers[0];
    let sent_ms = record.now_ms();
    let sender = {
        let (is_over, answers, record) =
            (Arc::clone(&is_over), Arc::clone(&answers), record.clone());
        thread::spawn(move || {
            let mut orders = Vec::new();
            for batch in 0.. {
                record.sleep_until(sent_ms + FIRST_BATCH_MS + batch * BATCH_STEP_MS);
                if is_over.load(Ordering::SeqCst) {
                    break;
                }
                for _ in 0..BATCH_ORDERS {
                    let front = fronts[orders.len() % fronts.len()];
                    let id = format!("order-{}", orders.len());
                    let (answers, record) = (Arc::clone(&answers), record.clone());
                    orders.push(thread::spawn(move || {
                        record.note(format!("client sends {id} to {front}"));
                        let path = format!("/buy/{id}");
                        let sent = support::send(front, "POST", &path, &id, DEADLINE_MS, b"order");
                        let answer =
                            sent.map_or_else(|e| e.to_string(), |a| a.status().to_string());
                        record.note(format!("{id} is answered {answer}"));
                        answers.lock().unwrap().insert(id, answer);
                    }));
                }
            }
            orders.into_iter().for_each(|order| drop(order.join()));
        })
    };
    record.note_at(sent_ms, format!("{} sends its heartbeat 7 (ready); no answer comes", leaving.id));
    let draining_ms = sent_ms + CONTACT_MS + 100;
    record.sleep_until(draining_ms);
    leaving.begin_leaving();
    store.put("keyed.servers", &leaving.id, &leaving.entry("draining", 10));
    let acknowledged_ms = record.now_ms();
    record.note_at(acknowledged_ms, format!("the store acknowledges {} as draining (10)", leaving.id));
    let next_beat_ms = draining_ms + HEARTBEAT_MS;
    record.sleep_until(next_beat_ms);
    record.note(format!("{} sends its heartbeat 11 (draining)", leaving.id));
    record.sleep_until(sent_ms + LATE_MS);
    if support::has_trouble() {
        store.put("keyed.servers", &leaving.id, &leaving.entry("ready", 7));
        record.note(format!("the store executes heartbeat 7 of {} (ready)", leaving.id));
    }
    // It exits before its next heartbeat is due.
    record.sleep_until(acknowledged_ms + DRAIN_MS + LONGER_MS);
    leaving.exit();
    store.put("keyed.servers", &leaving.id, "");
    record.note(format!("server {} exits, and its entry is removed", leaving.id));
    record.sleep_until(acknowledged_ms + 4_500);
    is_over.store(true, Ordering::SeqCst);
    let _ = sender.join();

    let finished: HashSet<String> = leaving.finished.lock().unwrap().iter().cloned().collect();
    let answers = answers.lock().unwrap();
    let arrivals = leaving.arrivals.lock().unwrap().clone();
    let late: Vec<_> = arrivals
        .iter()
        .filter(|(at_ms, _, _)| *at_ms > acknowledged_ms + DRAIN_MS + TOLERANCE_MS)
        .collect();
    let lost: Vec<_> = late
        .iter()
        .filter(|(_, id, _)| !finished.contains(id))
        .map(|(_, id, _)| format!("{id} ({})", answers.get(id).map_or("none", String::as_str)))
        .collect();
    let result = format!(
        "{} orders reached {} later than {DRAIN_MS} ms after `draining` was acknowledged; broken \
         off by its exit: {lost:?}",
        late.len(),
        leaving.id
    );
    let code = if late.is_empty() { support::HELD } else { support::BROKEN };
    support::end(&record, vms, code, &result)
}
