//! Scenario of the simulated fleet.

/// Policy for the choice of backend servers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// One dispatcher for each service and region.
    Dispatcher,
    /// The server with the fewest requests in flight from the VM.
    LeastOutstanding,
    /// Power of two choices by polled load.
    TwoChoices,
    /// Power of two choices by load that is polled and reported in each response.
    TwoChoicesInResponses,
    /// A uniformly random server.
    UniformRandom,
}

impl Policy {
    /// All policies.
    pub const ALL: [Self; 5] = [
        Self::UniformRandom,
        Self::LeastOutstanding,
        Self::TwoChoices,
        Self::TwoChoicesInResponses,
        Self::Dispatcher,
    ];

    /// Returns the name of the policy in tables.
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

/// Behavior of callers whose request was refused or timed out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Callers {
    /// Callers retry after the retry-after time, up to the number of attempts.
    ComeBack,
    /// Callers give up.
    GiveUp,
    /// Callers retry immediately, up to the number of attempts.
    SendAgain,
}

/// Phase with a constant load.
#[derive(Clone, Copy, Debug)]
pub struct Phase {
    /// Duration, in seconds.
    pub duration_s: u64,
    /// Load of first attempts, in percent of the capacity of all servers.
    pub load_percent: u64,
}

/// Scenario of the simulated fleet.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Maximum number of attempts of a caller.
    pub attempts: u32,
    /// Behavior of callers whose request was refused or timed out.
    pub callers: Callers,
    /// Time that callers wait for a response, in milliseconds.
    pub deadline_ms: u64,
    /// Start and end of an outage of all dispatchers, in seconds.
    pub dispatcher_outage_s: Option<(u64, u64)>,
    /// Whether admission control, cancellation, retry budgets and retry-after times
    /// are on; otherwise servers queue without limit and nothing is refused.
    pub has_overload_protection: bool,
    /// Mean run time of a request, in milliseconds.
    pub mean_run_ms: u64,
    /// Phases, in order.
    pub phases: Vec<Phase>,
    /// Policy for the choice of backend servers.
    pub policy: Policy,
    /// Seed of all random values.
    pub seed: u64,
    /// Number of backend servers.
    pub server_count: usize,
    /// Number of requests that a server runs at the same time.
    pub slot_count: u32,
    /// Number of entry VMs.
    pub vm_count: usize,
    /// Start and end of an outage of the servers of zone 0, in seconds.
    pub zone_outage_s: Option<(u64, u64)>,
}

impl Scenario {
    /// Returns the capacity of all servers, in requests per second.
    pub fn capacity_per_s(&self) -> u64 {
        self.server_count as u64 * u64::from(self.slot_count) * 1_000 / self.mean_run_ms
    }

    /// Returns the end of the last phase, in microseconds.
    pub fn end_us(&self) -> u64 {
        let duration_s: u64 = self.phases.iter().map(|phase| phase.duration_s).sum();
        duration_s * 1_000_000
    }

    /// Returns the load at a time, in percent of the capacity.
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
