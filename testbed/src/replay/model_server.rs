//! A backend server with slots, a queue and gray spells.

use std::collections;
use std::net;
use std::sync;

use foxtailwinch::ports;
use xxhash_rust::xxh3;

use crate::replay;
use crate::replay::attempt_result;
use crate::replay::service_shape;

/// Run time of a failure, a refusal or a server's own error, in milliseconds.
const FAST_END_MS: u64 = 2;

/// A backend server with slots, a queue and gray spells.
#[derive(Debug)]
pub(super) struct ModelServer {
    /// Times at which requests came.
    pub(super) arrivals_ms: Vec<u64>,
    /// Its registration.
    pub(super) backend: sync::Arc<ports::Backend>,
    running: indexmap::IndexSet<usize>,
    seed: u64,
    /// Its service's number.
    pub(super) service: usize,
    shape: service_shape::ServiceShape,
    waiting: collections::VecDeque<usize>,
}

/// What a server does with an attempt that comes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Admission {
    /// It begins to work on it.
    Running,
    /// It refuses it.
    Refused,
    /// The attempt waits.
    Waiting,
}

impl ModelServer {
    /// Gives a server of a service, the `count`th of its zone.
    pub(super) fn new(
        service: usize,
        shape: &service_shape::ServiceShape,
        (zone, region): (&str, &str),
        count: usize,
        seed: u64,
    ) -> Self {
        let backend = backend(shape, zone, region, count);
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

    /// Takes an attempt in, unless it refuses.
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

    /// Gives how a run that begins now ends, and after how many milliseconds.
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
        let errors = self.strength(now_ms, disturbances, replay::DisturbanceKind::Errors);
        let spell_share = if self.is_gray(now_ms) {
            self.shape.gray_failure_share
        } else {
            self.shape.error_share
        };
        if self.sample(now_ms, attempt, "fail") < errors.unwrap_or(0.0).max(spell_share) {
            return (attempt_result::AttemptResult::Failed, FAST_END_MS);
        }
        let slow = self.strength(now_ms, disturbances, replay::DisturbanceKind::Slow);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "run times are seconds"
        )]
        let took_ms = (run_ms * slow.unwrap_or(1.0)) as u64;
        (attempt_result::AttemptResult::Answered, took_ms.max(1))
    }

    /// Ends its work on an attempt, or forgets one that waits. Gives the next
    /// attempt that it begins.
    pub(super) fn end(&mut self, attempt: usize) -> Option<usize> {
        if !self.running.swap_remove(&attempt) {
            self.waiting.retain(|waiting| *waiting != attempt);
            return None;
        }
        let next = self.waiting.pop_front()?;
        self.running.insert(next);
        Some(next)
    }

    /// Tells whether it is in a gray spell: spells begin at times of its own,
    /// each with the same probability.
    pub(super) fn is_gray(&self, now_ms: u64) -> bool {
        let phase_ms = self.seed % self.shape.gray_spell_ms;
        let spell = (now_ms + phase_ms) / self.shape.gray_spell_ms;
        unit_interval(xxh3::xxh3_64_with_seed(&spell.to_le_bytes(), self.seed))
            < self.shape.gray_share
    }

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

    fn sample(&self, now_ms: u64, attempt: usize, purpose: &str) -> f64 {
        let seed = self.seed ^ now_ms.rotate_left(32) ^ attempt as u64;
        unit_interval(xxh3::xxh3_64_with_seed(purpose.as_bytes(), seed))
    }
}

/// Gives a number in `0.0..1.0`.
fn unit_interval(hash: u64) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "53 bits are kept")]
    let fraction = (hash >> 11) as f64 / (1_u64 << 53) as f64;
    fraction
}

fn backend(
    service: &service_shape::ServiceShape,
    zone: &str,
    region: &str,
    count: usize,
) -> ports::Backend {
    ports::Backend {
        address: net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 80)),
        availability_zone: zone.to_owned(),
        born_unix_ms: 1,
        id: format!("{}-{zone}-{count}", service.name),
        region: region.to_owned(),
        service: service.name.clone(),
        slot_count: u32::try_from(service.slot_count).unwrap_or(u32::MAX),
        state: ports::BackendState::Ready,
        warmup_left_ms: 0,
    }
}
