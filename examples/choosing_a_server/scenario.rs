//! What a run of the fake fleet is given.

/// How backend servers are chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// One dispatcher for each service and region.
    Dispatcher,
    /// Least outstanding requests by what each VM sees.
    LeastOutstanding,
    /// Power of two choices with polled load.
    TwoChoices,
    /// Power of two choices with load polled and reported in each answer.
    TwoChoicesInResponses,
    /// Uniformly random choice.
    UniformRandom,
}

impl Policy {
    /// Every policy.
    pub const ALL: [Self; 5] = [
        Self::UniformRandom,
        Self::LeastOutstanding,
        Self::TwoChoices,
        Self::TwoChoicesInResponses,
        Self::Dispatcher,
    ];

    /// Gives the policy's name in tables.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Dispatcher => "dispatcher",
            Self::LeastOutstanding => "least-outstanding",
            Self::TwoChoices => "two-choices",
            Self::TwoChoicesInResponses => "two-choices-in-answers",
            Self::UniformRandom => "uniform-random",
        }
    }
}

/// What callers do when they get no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Callers {
    /// They send again, up to the attempts, when they are told to.
    ComeBack,
    /// They give up.
    GiveUp,
    /// They send again at once, up to the attempts.
    SendAgain,
}

/// A stretch of time with a constant load.
#[derive(Clone, Copy, Debug)]
pub struct Phase {
    /// How long it lasts, in seconds.
    pub duration_s: u64,
    /// Offered first attempts, in percent of the capacity of all servers.
    pub load_percent: u64,
}

/// What a run of the fake fleet is given.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Attempts that a caller makes in all.
    pub attempts: u32,
    /// What callers do when they get no answer.
    pub callers: Callers,
    /// Time that callers wait, in milliseconds.
    pub deadline_ms: u64,
    /// Time without a reachable dispatcher, in seconds from the start.
    pub dispatcher_outage_s: Option<(u64, u64)>,
    /// Whether admission, cancellation, retry budgets and come-back times
    /// work; otherwise servers queue without limit and nothing is refused.
    pub has_overload_protection: bool,
    /// Mean time that a request runs, in milliseconds.
    pub mean_run_ms: u64,
    /// Load over time.
    pub phases: Vec<Phase>,
    /// How backend servers are chosen.
    pub policy: Policy,
    /// Seed of all randomness.
    pub seed: u64,
    /// Backend servers.
    pub server_count: usize,
    /// Requests that a server runs at a time.
    pub slot_count: u32,
    /// Entry VMs.
    pub vm_count: usize,
    /// Time without the servers of zone 0, in seconds from the start.
    pub zone_outage_s: Option<(u64, u64)>,
}

impl Scenario {
    /// Gives the requests per second that all servers run together.
    pub fn capacity_per_s(&self) -> u64 {
        self.server_count as u64 * u64::from(self.slot_count) * 1_000 / self.mean_run_ms
    }

    /// Gives the time of the last arrival, in microseconds.
    pub fn end_us(&self) -> u64 {
        let duration_s: u64 = self.phases.iter().map(|phase| phase.duration_s).sum();
        duration_s * 1_000_000
    }

    /// Gives the load at a time, in percent of the capacity.
    pub fn load_percent(&self, now_us: u64) -> u64 {
        let mut end_us = 0;
        for phase in &self.phases {
            end_us += phase.duration_s * 1_000_000;
            if now_us < end_us {
                return phase.load_percent;
            }
        }
        0
    }
}
