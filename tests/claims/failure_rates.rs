//! Table of the verdicts that callers receive during each kind of failure.

use foxtailwinch::claims;
use foxtailwinch::configs;

use crate::fleet;
use crate::step;

const HOME: usize = 0;
const WITNESS: usize = 1;
const ENTRY: usize = 2;
const DEADLINE_MS: usize = 2_000;
/// Time before the failure, with one request per millisecond.
const BEFORE_MS: usize = 500;
/// Duration of the failure, with one request per millisecond.
const DURING_MS: usize = 2_000;
/// Interval at which all runs in progress finish.
const RUN_MS: usize = 20;

#[derive(Clone, Copy, Debug)]
enum Failure {
    None,
    HomeLost,
    HomePaused,
    HomeLeaves,
    HomeToWitnessCut,
    WitnessToHomeCut,
    EntryToHomeCut,
    HomeToEntryCut,
    WitnessLost,
    WitnessPaused,
    BothLost,
}

const FAILURES: [Failure; 11] = [
    Failure::None,
    Failure::HomeLost,
    Failure::HomePaused,
    Failure::HomeLeaves,
    Failure::HomeToWitnessCut,
    Failure::WitnessToHomeCut,
    Failure::EntryToHomeCut,
    Failure::HomeToEntryCut,
    Failure::WitnessLost,
    Failure::WitnessPaused,
    Failure::BothLost,
];

impl Failure {
    fn steps(self) -> Vec<step::Step> {
        let cut = |from, to| vec![step::Step::Cut { from, to }];
        match self {
            Self::None => Vec::new(),
            Self::HomeLost => vec![step::Step::Restart { vm: HOME }],
            Self::HomePaused => vec![step::Step::Pause { vm: HOME }],
            Self::HomeLeaves => vec![step::Step::Leave { vm: HOME }],
            Self::HomeToWitnessCut => cut(HOME, WITNESS),
            Self::WitnessToHomeCut => cut(WITNESS, HOME),
            Self::EntryToHomeCut => cut(ENTRY, HOME),
            Self::HomeToEntryCut => cut(HOME, ENTRY),
            Self::WitnessLost => vec![step::Step::Restart { vm: WITNESS }],
            Self::WitnessPaused => vec![step::Step::Pause { vm: WITNESS }],
            Self::BothLost => vec![
                step::Step::Restart { vm: HOME },
                step::Step::Restart { vm: WITNESS },
            ],
        }
    }
}

/// Callers at one entry VM, which keep using their first key prefix.
struct Callers {
    fleet: fleet::Fleet,
    keys: Vec<claims::ClaimKey>,
    prefix: claims::KeyPrefix,
}

impl Callers {
    fn new() -> Self {
        let fleet = fleet::Fleet::new(configs::claims::ClaimsConfig::default(), None);
        let prefix = fleet.vms[HOME].home.prefix_for(fleet.vms[WITNESS].identity);
        let keys = Vec::new();
        Self {
            fleet,
            keys,
            prefix,
        }
    }

    fn run(&mut self, ms: usize, mut each: impl FnMut(&mut Self, usize)) {
        for now_ms in 0..ms {
            each(self, now_ms);
            self.fleet.advance_time(1, true);
            self.fleet.deliver_all();
            if now_ms % RUN_MS == RUN_MS - 1 {
                self.finish_runs();
            }
        }
    }

    fn finish_runs(&mut self) {
        for _ in 0..self.fleet.vms[HOME].runs.len() {
            self.fleet.apply(&step::Step::Finish { outcome: 4, run: 0 });
        }
    }

    fn request(&mut self) {
        let key = claims::ClaimKey {
            caller_key: format!("order{}", self.keys.len()),
            organisation: "duka".to_owned(),
            prefix: self.prefix,
        };
        self.fleet.attempt(ENTRY, &key, 0, DEADLINE_MS as u64);
        self.keys.push(key);
    }

    fn count_verdicts(&mut self) -> String {
        self.run(DEADLINE_MS, |_, _| ());
        self.fleet.run_to_completion();
        assert_eq!(self.fleet.ledger.violation, None);
        let ledger = &self.fleet.ledger;
        format!(
            "{:>8} {:>8} {:>8}",
            ledger.response_count + ledger.streamed_count,
            ledger.not_run_count,
            ledger.may_have_run_count
        )
    }
}

/// Counts the verdicts of first attempts during the failure.
fn first_attempts(failure: Failure) -> String {
    let mut callers = Callers::new();
    failure
        .steps()
        .iter()
        .for_each(|step| callers.fleet.apply(step));
    callers.run(DURING_MS, |callers, _| callers.request());
    callers.count_verdicts()
}

/// Counts the verdicts of resends during the failure, of requests that finished
/// before it.
fn resends(failure: Failure) -> String {
    let mut callers = Callers::new();
    callers.run(BEFORE_MS, |callers, _| callers.request());
    callers.run(RUN_MS, |_, _| ());
    callers.fleet.ledger = crate::ledger::Ledger::default();
    failure
        .steps()
        .iter()
        .for_each(|step| callers.fleet.apply(step));
    let keys = callers.keys.clone();
    callers.run(BEFORE_MS, |callers, now_ms| {
        callers
            .fleet
            .attempt(ENTRY, &keys[now_ms], 0, DEADLINE_MS as u64);
    });
    callers.count_verdicts()
}

/// Guards against a protocol change that gives callers worse verdicts during a
/// failure, such as "may have run" instead of "not run".
#[test]
fn verdicts_during_each_failure() {
    let mut lines = vec![format!(
        "{:20}{:>26} | {:>26}",
        "", "first attempts (2000)", "resends of answered (500)"
    )];
    let heads = format!("{:>8} {:>8} {:>8}", "response", "not run", "may have");
    lines.push(format!("{:20}{heads} | {heads}", "failure"));
    for failure in FAILURES {
        let name = format!("{failure:?}");
        lines.push(format!(
            "{name:20}{} | {}",
            first_attempts(failure),
            resends(failure)
        ));
    }
    expect_test::expect![[r"
                                 first attempts (2000) |  resends of answered (500)
        failure             response  not run may have | response  not run may have
        None                    2000        0        0 |      500        0        0
        HomeLost                   0     2000        0 |        0        0      500
        HomePaused                 0     2000        0 |        0        0      500
        HomeLeaves                 0     2000        0 |      500        0        0
        HomeToWitnessCut           0     2000        0 |      500        0        0
        WitnessToHomeCut           0     2000        0 |      500        0        0
        EntryToHomeCut             0     2000        0 |        0        0      500
        HomeToEntryCut             0        0     2000 |        0        0      500
        WitnessLost                0     2000        0 |      500        0        0
        WitnessPaused              0     2000        0 |      500        0        0
        BothLost                   0        0     2000 |        0        0      500"]]
    .assert_eq(&lines.join("\n"));
}
