//! Tests of the operators' tool against an in-memory log and simulated VMs.

#![allow(
    clippy::needless_raw_string_hashes,
    reason = "expect-test adds the hashes when it updates a snapshot"
)]

use std::fs;
use std::net;
use std::path;
use std::sync;
use std::time;

use expect_test::expect;
use foxtailwinch::config_fold;
use foxtailwinch::log_client;
use foxtailwinch::log_client::LogClient as _;
use foxtailwinch::tool;
use futures::FutureExt as _;

const BUNDLE: &str = "\
services:
  bei:
    servers:
      bei-1: {address: 127.0.0.1:9001, availability_zone: kariakoo, region: pwani, slot_count: 6}
routes:
  - {path_prefix: /prices, service: bei}
";

/// Simulated VMs. Each status shows the bundle in force according to the log. Only
/// the first status that is queried, of whichever VM, shows no bundle.
struct FakeVms {
    ejected: sync::Mutex<Vec<tool::Ejection>>,
    log: sync::Arc<log_client::FakeLog>,
    status_call_count: sync::atomic::AtomicUsize,
}

impl tool::StatusClient for FakeVms {
    fn status(
        &self,
        address: net::SocketAddr,
    ) -> futures::future::BoxFuture<'_, Result<tool::VmStatus, String>> {
        async move {
            let calls_before = self
                .status_call_count
                .fetch_add(1, sync::atomic::Ordering::SeqCst);
            let view = tool::LogView::read(self.log.as_ref()).await;
            let view = view.map_err(|error| error.to_string())?;
            let in_force = view.fold.in_force().filter(|_| calls_before > 0);
            Ok(tool::VmStatus {
                availability_zone: "kariakoo".to_owned(),
                configuration_offset: in_force.map(|in_force| in_force.offset),
                configuration_version: in_force.map(|in_force| in_force.version.clone()),
                counters: indexmap::IndexMap::new(),
                ejections: self.ejected.lock().unwrap().clone(),
                in_flight_requests: 2,
                incarnation: 1,
                leaving: false,
                region: "pwani".to_owned(),
                vm_id: format!("vm-{}", address.port()),
            })
        }
        .boxed()
    }
}

/// Log, simulated VMs and working directory of a test.
struct Harness {
    directory: path::PathBuf,
    log: sync::Arc<log_client::FakeLog>,
    vms: FakeVms,
}

impl Harness {
    fn new(name: &str) -> Self {
        let directory = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        fs::create_dir_all(&directory).unwrap();
        fs::write(directory.join("bundle.yaml"), BUNDLE).unwrap();
        let log = sync::Arc::new(log_client::FakeLog::default());
        let vms = FakeVms {
            ejected: sync::Mutex::default(),
            log: log.clone(),
            status_call_count: sync::atomic::AtomicUsize::new(0),
        };
        Self {
            directory,
            log,
            vms,
        }
    }

    /// Runs a command line and returns the output and the error that an
    /// operator sees.
    async fn run(&self, line: &str) -> String {
        let file = self.directory.join("bundle.yaml");
        let line = line.replace("FILE", file.to_str().unwrap());
        let args: Vec<String> = line.split_whitespace().map(str::to_owned).collect();
        let mut out = Vec::new();
        let result = match tool::GlobalOptions::extract(&args) {
            Ok((options, args)) => {
                let mut session = tool::Session {
                    log: Some(self.log.as_ref()),
                    options,
                    out: &mut out,
                    poll_interval: time::Duration::from_millis(1),
                    status_client: &self.vms,
                };
                tool::run(&args, &mut session).await
            }
            Err(error) => Err(error),
        };
        let text = String::from_utf8(out).unwrap();
        let text = text.replace(self.directory.to_str().unwrap(), "DIR");
        match result {
            Ok(()) => text,
            Err(error) => format!("{text}exit {}: {error}\n", error.exit_code() as u8),
        }
    }

    async fn run_all(&self, lines: &[&str]) -> String {
        let mut output = String::new();
        for line in lines {
            output += "$ ";
            output += line;
            output += "\n";
            output += &self.run(line).await;
        }
        output
    }
}

/// Guards against a change of the commands' output or exit codes along the path
/// of a bundle, and against a roll-out without the sign-off of a second
/// operator.
#[tokio::test]
async fn a_bundle_passes_from_check_to_roll_out_and_history() {
    let harness = Harness::new("whole");
    let output = harness
        .run_all(&[
            "bundle check FILE",
            "bundle diff FILE",
            "bundle publish FILE --operator asha --version one",
            "bundle roll-out one --operator asha",
            "bundle sign-off one --operator asha",
            "bundle sign-off one --operator juma",
            "bundle status",
            "bundle roll-out one --operator asha --wait-ms 0",
            "bundle diff FILE",
            "bundle status --output json",
            "bundle history",
        ])
        .await;
    expect![[r#"
        $ bundle check FILE
        DIR/bundle.yaml: valid; 1 services, 1 routes, digest 85c49da8ae83a22b2f2070794df09177ddae9b138eb2716556909912a410dabe
        $ bundle diff FILE
        + routes(* /prices).path_prefix: "/prices"
        + routes(* /prices).service: "bei"
        + services.bei.deadline_ms: 2000
        + services.bei.false_ejection_weight: 0.5
        + services.bei.floor_servers: 1
        + services.bei.idempotent: false
        + services.bei.max_body_bytes: 1048576
        + services.bei.priority: "normal"
        + services.bei.queue_limit_requests: 64
        + services.bei.retry_budget_percent: 10
        + services.bei.servers.bei-1.address: "127.0.0.1:9001"
        + services.bei.servers.bei-1.availability_zone: "kariakoo"
        + services.bei.servers.bei-1.connection_limit: 330
        + services.bei.servers.bei-1.region: "pwani"
        + services.bei.servers.bei-1.slot_count: 6
        $ bundle publish FILE --operator asha --version one
        proposed bundle one at offset 0
        next step, by another operator: foxtailwinch bundle sign-off one
        $ bundle roll-out one --operator asha
        exit 1: refused: bundle `one` is not signed off by a second operator
        $ bundle sign-off one --operator asha
        exit 1: refused: operator asha proposed bundle `one`; another one must sign it off
        $ bundle sign-off one --operator juma
        signed off bundle one
        next step: foxtailwinch bundle roll-out one
        $ bundle status
        in force: no bundle
        PROPOSED  BASE  OPERATOR  SIGNED OFF BY
        one             asha      juma
        $ bundle roll-out one --operator asha --wait-ms 0
        accepted: bundle one is in force from offset 4 on
        $ bundle diff FILE
        no changes
        $ bundle status --output json
        {"in_force":{"appended_unix_ms":0,"base_version":null,"bundle_version":"one","digest":"85c49da8ae83a22b2f2070794df09177ddae9b138eb2716556909912a410dabe","offset":4,"operator":"asha"},"next_offset":5,"proposals":[]}
        $ bundle history
        OFFSET  VERSION  BASE  OPERATOR  UNIX_MS  DIGEST
        4       one            asha      0        85c49da8ae83
    "#]].assert_eq(&output);
}

/// Guards against a roll-out that overwrites another operator's change: both
/// operators start from the same version, and the second roll-out must be
/// refused.
#[tokio::test]
async fn a_roll_out_on_an_outdated_base_is_refused_with_the_version_in_force() {
    let harness = Harness::new("race");
    let output = harness
        .run_all(&[
            "bundle publish FILE --operator asha --version one",
            "bundle publish FILE --operator neema --version two",
            "bundle sign-off one --operator juma",
            "bundle sign-off two --operator juma",
            "bundle roll-out two --operator neema --wait-ms 0",
            "bundle roll-out one --operator asha --wait-ms 0",
            "bundle publish FILE --operator asha --version three --base none",
            "bundle publish FILE --operator asha --version two",
        ])
        .await;
    expect![[r#"
        $ bundle publish FILE --operator asha --version one
        proposed bundle one at offset 0
        next step, by another operator: foxtailwinch bundle sign-off one
        $ bundle publish FILE --operator neema --version two
        proposed bundle two at offset 1
        next step, by another operator: foxtailwinch bundle sign-off two
        $ bundle sign-off one --operator juma
        signed off bundle one
        next step: foxtailwinch bundle roll-out one
        $ bundle sign-off two --operator juma
        signed off bundle two
        next step: foxtailwinch bundle roll-out two
        $ bundle roll-out two --operator neema --wait-ms 0
        accepted: bundle two is in force from offset 4 on
        $ bundle roll-out one --operator asha --wait-ms 0
        exit 1: refused: the base of bundle `one` is not in force: two won; propose the change again on top of it
        $ bundle publish FILE --operator asha --version three --base none
        exit 1: refused: the base of bundle `three` is not in force: two won; propose the change again on top of it
        $ bundle publish FILE --operator asha --version two
        exit 1: refused: version `two` already exists
    "#]].assert_eq(&output);
}

/// Guards against a record that is stored twice after its reply was lost, and
/// against a wrong exit code when the outcome is unknown or the log is down.
#[tokio::test]
async fn a_lost_reply_stores_the_record_once_and_an_outage_is_reported() {
    let harness = Harness::new("faults");
    harness.log.set_fault(log_client::Fault::LostReply, Some(1));
    let publish = "bundle publish FILE --operator asha --version one";
    let mut output = harness.run_all(&[publish]).await;
    assert_eq!(
        harness.log.records().len(),
        1,
        "the record is in the log once"
    );
    harness
        .log
        .set_fault(log_client::Fault::LostRequest, Some(1));
    output += &harness
        .run_all(&["bundle sign-off one --operator juma"])
        .await;
    assert_eq!(
        harness.log.records().len(),
        2,
        "the lost request is sent again"
    );
    harness.log.set_fault(log_client::Fault::LostRequest, None);
    output += &harness
        .run_all(&["bundle sign-off one --operator neema"])
        .await;
    harness.log.set_fault(log_client::Fault::Down, None);
    output += &harness
        .run_all(&["bundle sign-off one --operator neema"])
        .await;
    output += &harness
        .run_all(&["bundle status", "bundle stats", "bundle check", "--log x"])
        .await;
    expect![[r#"
        $ bundle publish FILE --operator asha --version one
        proposed bundle one at offset 0
        next step, by another operator: foxtailwinch bundle sign-off one
        $ bundle sign-off one --operator juma
        signed off bundle one
        next step: foxtailwinch bundle roll-out one
        $ bundle sign-off one --operator neema
        exit 4: the outcome is unknown: the record may be in the log (no reply); check with `bundle status` before you try again
        $ bundle sign-off one --operator neema
        exit 3: the log is unavailable: the log is down; nothing was changed, try again later
        $ bundle status
        exit 3: the log is unavailable: the log is down; nothing was changed, try again later
        $ bundle stats
        exit 2: unrecognized command `stats`; see foxtailwinch --help
        $ bundle check
        exit 2: missing required free argument; see foxtailwinch --help
        $ --log x
        exit 2: --log: `x` is not a URL such as http://127.0.0.1:7300
    "#]].assert_eq(&output);
}

/// Guards against a roll-out that reports success before all VMs have applied
/// it: one simulated VM applies the bundle only at the second status query.
#[tokio::test]
async fn a_roll_out_reports_the_number_of_vms_that_apply_it() {
    let harness = Harness::new("spread");
    let setup = [
        "bundle publish FILE --operator asha --version one",
        "bundle sign-off one --operator juma",
    ];
    harness.run_all(&setup).await;
    let vms = "--vm http://127.0.0.1:7201 --vm http://127.0.0.1:7202";
    let output = harness
        .run(&format!("bundle roll-out one --operator asha {vms}"))
        .await;
    let counts: Vec<&str> = output
        .lines()
        .map(|line| line.split(" after").next().unwrap())
        .collect();
    expect![[r#"
        accepted: bundle one is in force from offset 2 on
        in force on 1 of 2 VMs
        in force on 2 of 2 VMs"#]]
    .assert_eq(&counts.join("\n"));
    expect![[r#"
        VM       ZONE      VERSION  OFFSET  IN FLIGHT  EJECTED  STATE
        vm-7201  kariakoo  one      2       2                   serving
        vm-7202  kariakoo  one      2       2                   serving
    "#]]
    .assert_eq(&harness.run(&format!("fleet status {vms}")).await);
}

/// Guards against a report that misses a change of the fleet's state, and
/// against rehearsals of unknown servers or of excessive duration.
#[tokio::test]
async fn a_rehearsal_report_compares_with_the_state_before() {
    let harness = Harness::new("rehearsal");
    let setup = [
        "bundle publish FILE --operator asha --version one",
        "bundle sign-off one --operator juma",
        "bundle roll-out one --operator asha --wait-ms 0",
        "fleet status --vm 127.0.0.1:7201",
    ];
    harness.run_all(&setup).await;
    let vm = "--vm 127.0.0.1:7201 --operator asha --service bei --servers";
    let schedule = format!("rehearsal schedule --id r1 --duration-ms 60000 {vm} bei-1");
    let unknown = format!("rehearsal schedule --id r2 --duration-ms 60000 {vm} bei-9");
    let long = format!("rehearsal schedule --id r3 --duration-ms 99999999 {vm} bei-1");
    let report = "rehearsal report r1 --vm 127.0.0.1:7201";
    let mut output = harness
        .run_all(&[
            &schedule,
            &unknown,
            &long,
            "rehearsal list",
            report,
            "rehearsal report r4",
        ])
        .await;
    harness.vms.ejected.lock().unwrap().push(tool::Ejection {
        server: "bei-1".to_owned(),
        service: "bei".to_owned(),
        since_ms: 5,
    });
    output += &harness.run_all(&[report]).await;
    expect![[r#"
        $ rehearsal schedule --id r1 --duration-ms 60000 --vm 127.0.0.1:7201 --operator asha --service bei --servers bei-1
        scheduled r1 at offset 3; the current state is recorded for the report
        $ rehearsal schedule --id r2 --duration-ms 60000 --vm 127.0.0.1:7201 --operator asha --service bei --servers bei-9
        exit 1: refused: the bundle in force has no server `bei-9` in service `bei`
        $ rehearsal schedule --id r3 --duration-ms 99999999 --vm 127.0.0.1:7201 --operator asha --service bei --servers bei-1
        exit 1: refused: the duration of a rehearsal must be 1 to 3600000 ms
        $ rehearsal list
        ID  SERVICE  SERVERS  STARTS  ENDS   ENDED EARLY
        r1  bei      bei-1    0       60000
        $ rehearsal report r1 --vm 127.0.0.1:7201
        r1 on bei: ends at 60000 ms
        the fleet is as it was before
        $ rehearsal report r4
        exit 1: refused: there is no rehearsal with the id `r4`
        $ rehearsal report r1 --vm 127.0.0.1:7201
        r1 on bei: ends at 60000 ms
        ejected servers: none before, bei/bei-1 after
    "#]].assert_eq(&output);
}

/// Guards against a tool that uses an incomplete history: after the first
/// records have expired, it must refuse to read the log until a checkpoint
/// covers them.
#[tokio::test]
async fn an_expired_log_is_readable_once_it_has_a_checkpoint() {
    let harness = Harness::new("expired");
    let setup = [
        "bundle publish FILE --operator asha --version one",
        "bundle sign-off one --operator juma",
        "bundle roll-out one --operator asha --wait-ms 0",
    ];
    harness.run_all(&setup).await;
    let view = tool::LogView::read(harness.log.as_ref()).await.unwrap();
    let checkpoint = view.fold.checkpoint().unwrap();
    harness.log.expire_before(3);
    let mut output = harness.run_all(&["bundle history"]).await;
    let record = config_fold::Record::new("c1".to_owned(), checkpoint);
    harness
        .log
        .append("configuration", record.to_json())
        .await
        .unwrap();
    output += &harness.run_all(&["bundle history"]).await;
    expect![[r#"
        $ bundle history
        exit 3: the log is unavailable: records have expired and no checkpoint covers them yet; a running VM appends one; nothing was changed, try again later
        $ bundle history
        OFFSET  VERSION  BASE  OPERATOR  UNIX_MS  DIGEST
        2       one            asha      0        85c49da8ae83
    "#]].assert_eq(&output);
}
