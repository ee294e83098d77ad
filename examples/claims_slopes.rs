//! Measures the memory per key and the time per claim of at-most-once execution.
//!
//! Prints CSV. Usage: `claims_slopes [keys]`. The keys are the same in every run;
//! the times depend on the machine. Memory is the growth of the resident memory
//! of the process (`VmRSS`) since the start of a table, divided by the keys.

use std::fs;
use std::net;
use std::time;

use foxtailwinch::claims;
use foxtailwinch::configs;
use foxtailwinch::state_machine::StateMachine as _;

const DEFAULT_KEYS: usize = 160_000;
/// Number of equal parts in which a table is filled; each is measured.
const PARTS: usize = 4;
/// Length of a short response, such as the response to an order.
const RESPONSE_BYTES: usize = 512;

fn main() {
    let requested = std::env::args().nth(1);
    let keys_count = requested
        .and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_KEYS);
    println!("role,answer_bytes,keys,memory_bytes_per_key,estimated_bytes_per_key,ns_per_claim");
    // Each table is kept until the end: the next table would otherwise reuse its
    // memory, and the growth of the process would be too small.
    let _home_without_responses = measure_home(keys_count, 0);
    let _home_with_responses = measure_home(keys_count, RESPONSE_BYTES);
    let _witness = measure_witness(keys_count);
}

fn config(keys_count: usize) -> configs::claims::ClaimsConfig {
    configs::claims::ClaimsConfig {
        home_limit_bytes: usize::MAX,
        home_limit_keys: keys_count + 1,
        witness_limit_bytes: usize::MAX,
        witness_limit_keys: keys_count + 1,
        ..configs::claims::ClaimsConfig::default()
    }
}

fn vm(port: u16) -> claims::VmIdentity {
    claims::VmIdentity {
        incarnation: 1,
        peer_address: net::SocketAddr::from(([10, 0, 0, 1], port)),
    }
}

fn key(index: usize) -> claims::ClaimKey {
    claims::ClaimKey {
        caller_key: format!("7d1f5c1e-9b6a-4e27-8d55-{index:012}"),
        organisation: format!("organisation-{:06}", index % 610_000),
        prefix: claims::KeyPrefix {
            home: vm(1),
            home_epoch: 0,
            witness: vm(2),
        },
    }
}

/// Runs a complete claim at the home: request, grant and finish.
fn claim_at_home(home: &mut claims::Home, index: usize, response_bytes: usize) {
    let key = key(index);
    let event = claims::HomeEvent::Request {
        attempt_id: index as u64,
        deadline_ms: 2_000,
        fingerprint: 1,
        key: key.clone(),
    };
    home.handle(0, event);
    let reply = claims::ClaimReply::Granted;
    let claimed = claims::HomeEvent::Claimed {
        key: key.clone(),
        reply,
    };
    home.handle(1, claimed);
    let response = claims::StoredResponse {
        body: vec![0; response_bytes].into(),
        headers: Vec::new(),
        request_fingerprint: 1,
        status: 200,
    };
    let outcome = claims::RunOutcome::Answered(response);
    home.handle(2, claims::HomeEvent::Finished { key, outcome });
}

fn measure_home(keys_count: usize, response_bytes: usize) -> claims::Home {
    let start_bytes = resident_bytes();
    let mut home = claims::Home::new(&config(keys_count), vm(1));
    for part in 0..PARTS {
        let range = part * keys_count / PARTS..(part + 1) * keys_count / PARTS;
        let claims_count = range.len();
        let started = time::Instant::now();
        for index in range {
            claim_at_home(&mut home, index, response_bytes);
        }
        let elapsed = started.elapsed();
        let row = Row {
            response_bytes,
            estimated_bytes: home.size_bytes(),
            keys_count: home.key_count(),
            role: "home",
            start_bytes,
        };
        row.print(elapsed, claims_count);
    }
    home
}

fn measure_witness(keys_count: usize) -> claims::Witness {
    let start_bytes = resident_bytes();
    let mut witness = claims::Witness::new(&config(keys_count), vm(2));
    for part in 0..PARTS {
        let range = part * keys_count / PARTS..(part + 1) * keys_count / PARTS;
        let claims_count = range.len();
        let started = time::Instant::now();
        for index in range {
            let claim = claims::Claim { key: key(index) };
            let message_id = index as u64;
            witness.handle(0, claims::WitnessEvent::Claim { claim, message_id });
        }
        let elapsed = started.elapsed();
        let row = Row {
            response_bytes: 0,
            estimated_bytes: witness.size_bytes(),
            keys_count: witness.key_count(),
            role: "witness",
            start_bytes,
        };
        row.print(elapsed, claims_count);
    }
    witness
}

struct Row {
    response_bytes: usize,
    estimated_bytes: usize,
    keys_count: usize,
    role: &'static str,
    start_bytes: usize,
}

impl Row {
    fn print(&self, elapsed: time::Duration, claims_count: usize) {
        let memory_bytes = resident_bytes().saturating_sub(self.start_bytes);
        println!(
            "{},{},{},{},{},{}",
            self.role,
            self.response_bytes,
            self.keys_count,
            memory_bytes / self.keys_count,
            self.estimated_bytes / self.keys_count,
            elapsed.as_nanos() / claims_count as u128,
        );
    }
}

/// Returns the resident memory of this process, or 0 if it cannot be read.
fn resident_bytes() -> usize {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.trim().strip_suffix("kB")?.trim().parse().ok());
    kilobytes.unwrap_or(0) * 1_024
}
