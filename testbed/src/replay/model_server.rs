//! Model of a backend server with slots, a queue and gray spells.

use std::collections;
use std::net;
use std::sync;

use foxtailwinch::ports;
use xxhash_rust::xxh3;

use crate::replay;
use crate::replay::attempt_result;
use crate::replay::service_shape;

/// Run time of a request that fails, in milliseconds.
const FAILED_RUN_MS: u64 = 2;

/// Model of a backend server with slots, a queue and gray spells.
///
/// A gray spell is a period in which the server fails more of its requests than
/// usual.
#[derive(Debug)]
pub(super) struct ModelServer {
    /// Times at which attempts arrived, in ascending order.
    pub(super) arrivals_ms: Vec<u64>,
    /// Entry of the server in the backend pools.
    pub(super) backend: sync::Arc<ports::Backend>,
    running: indexmap::IndexSet<usize>,
    seed: u64,
    /// Index of the service.
    pub(super) service: usize,
    shape: service_shape::ServiceShape,
    waiting: collections::VecDeque<usize>,
}

/// Decision of a server on an arriving attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Admission {
    /// The server runs the attempt.
    Running,
    /// The server refuses the attempt.
    Refused,
    /// The attempt waits in the server's queue.
    Waiting,
}

impl ModelServer {
    /// Creates server `number` of a service in an availability zone.
    pub(super) fn new(
        service: usize,
        shape: &service_shape::ServiceShape,
        (zone, region): (&str, &str),
        number: usize,
        seed: u64,
    ) -> Self {
        let backend = backend(shape, zone, region, number);
        Self {
            arrivals_ms: Vec::new(),
            seed: seed ^ backend.incarnation(),
            backend: sync::Arc::new(backend),
            running: indexmap::IndexSet::new(),
            service,
            shape: shape.clone(),
            waiting: collections::VecDeque::new(),
        }
    }

    /// Runs, queues or refuses an arriving attempt.
    pub(super) fn admit(
        &mut self,
        now_ms: u64,
        attempt: usize,
        disturbances: &[replay::Disturbance],
    ) -> Admission {
        self.arrivals_ms.push(now_ms);
        let refused_share = self.strength(now_ms, disturbances, replay::DisturbanceKind::Refuse);
        if self.sample(now_ms, attempt, "refuse") < refused_share.unwrap_or(0.0) {
            return Admission::Refused;
        }
        if self.running.len() < self.shape.slot_count {
            self.running.insert(attempt);
            return Admission::Running;
        }
        if self.waiting.len() < self.shape.queue_count {
            self.waiting.push_back(attempt);
            return Admission::Waiting;
        }
        Admission::Refused
    }

    /// Returns the result of an attempt that begins to run now, and its run time in
    /// milliseconds.
    pub(super) fn run(
        &self,
        now_ms: u64,
        attempt: usize,
        run_ms: f64,
        disturbances: &[replay::Disturbance],
    ) -> (attempt_result::AttemptResult, u64) {
        let hung_share = self.strength(now_ms, disturbances, replay::DisturbanceKind::Hang);
        if self.sample(now_ms, attempt, "hang") < hung_share.unwrap_or(0.0) {
            return (attempt_result::AttemptResult::Hung, 0);
        }
        let error_share = self.strength(now_ms, disturbances, replay::DisturbanceKind::Errors);
        let base_failure_share = if self.is_gray(now_ms) {
            self.shape.gray_failure_share
        } else {
            self.shape.error_share
        };
        if self.sample(now_ms, attempt, "fail") < error_share.unwrap_or(0.0).max(base_failure_share)
        {
            return (attempt_result::AttemptResult::Failed, FAILED_RUN_MS);
        }
        let slowdown = self.strength(now_ms, disturbances, replay::DisturbanceKind::Slow);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "run times are seconds"
        )]
        let took_ms = (run_ms * slowdown.unwrap_or(1.0)) as u64;
        (attempt_result::AttemptResult::Answered, took_ms.max(1))
    }

    /// Removes an attempt that runs or waits. Returns the waiting attempt that
    /// begins to run in its place.
    pub(super) fn remove(&mut self, attempt: usize) -> Option<usize> {
        if !self.running.swap_remove(&attempt) {
            self.waiting.retain(|waiting| *waiting != attempt);
            return None;
        }
        let next = self.waiting.pop_front()?;
        self.running.insert(next);
        Some(next)
    }

    /// Returns whether the server is in a gray spell.
    ///
    /// Time is divided into periods of `gray_spell_ms`, offset by a value derived
    /// from the server's seed. Each period is a gray spell with probability
    /// `gray_share`.
    pub(super) fn is_gray(&self, now_ms: u64) -> bool {
        let phase_ms = self.seed % self.shape.gray_spell_ms;
        let spell = (now_ms + phase_ms) / self.shape.gray_spell_ms;
        unit_interval(xxh3::xxh3_64_with_seed(&spell.to_le_bytes(), self.seed))
            < self.shape.gray_share
    }

    /// Returns the strength of the first active disturbance of a kind that affects the
    /// server, or `None` if there is none.
    fn strength(
        &self,
        now_ms: u64,
        disturbances: &[replay::Disturbance],
        kind: replay::DisturbanceKind,
    ) -> Option<f64> {
        let active = disturbances.iter().find(|disturbance| {
            let zone = disturbance.zone.as_deref();
            disturbance.kind == kind
                && disturbance.affects(now_ms, &self.shape.name)
                && zone.is_none_or(|zone| zone == self.backend.availability_zone)
                && unit_interval(xxh3::xxh3_64_with_seed(b"share", self.seed))
                    < disturbance.server_share
        });
        active.map(|disturbance| disturbance.strength)
    }

    /// Returns a number in `0.0..1.0` that depends on the server, the time, the attempt
    /// and the purpose of the number.
    fn sample(&self, now_ms: u64, attempt: usize, purpose: &str) -> f64 {
        let seed = self.seed ^ now_ms.rotate_left(32) ^ attempt as u64;
        unit_interval(xxh3::xxh3_64_with_seed(purpose.as_bytes(), seed))
    }
}

/// Maps a hash to a number in `0.0..1.0`.
fn unit_interval(hash: u64) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "53 bits are kept")]
    let fraction = (hash >> 11) as f64 / (1_u64 << 53) as f64;
    fraction
}

fn backend(
    service: &service_shape::ServiceShape,
    zone: &str,
    region: &str,
    number: usize,
) -> ports::Backend {
    ports::Backend {
        address: net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 80)),
        availability_zone: zone.to_owned(),
        born_unix_ms: 1,
        id: format!("{}-{zone}-{number}", service.name),
        region: region.to_owned(),
        service: service.name.clone(),
        slot_count: u32::try_from(service.slot_count).unwrap_or(u32::MAX),
        state: ports::BackendState::Ready,
        warmup_left_ms: 0,
    }
}
