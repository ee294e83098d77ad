//! Driver of the home's state machine for keyed requests.

use std::sync;
use std::sync::atomic;
use std::time;

use tokio::sync::mpsc;

use crate::claims;
use crate::configs;
use crate::context;
use crate::daemon::traffic_threads::retry_after;
use crate::peer;
use crate::state_machine::StateMachine as _;
use crate::telemetry;
use crate::verdict;

/// Minimum delay before a retry after a run was abandoned before it began, in
/// milliseconds.
const ABANDONED_RETRY_AFTER_MS: u64 = 100;

/// Next step of an attempt.
#[derive(Debug)]
pub enum AttemptStep {
    /// Send this final reply to the caller.
    Reply(claims::HomeReply),
    /// Run the request now, then report the outcome.
    Run,
}

/// Store of the keys whose home is this entry VM.
pub struct ClaimHome {
    claim_timeout: time::Duration,
    clock: sync::Arc<dyn context::Clock>,
    counters: sync::Arc<telemetry::Counters>,
    identity: claims::VmIdentity,
    peers: peer::PeerClients,
    state: sync::Mutex<State>,
    witness_failed: atomic::AtomicBool,
}

struct State {
    attempts: indexmap::IndexMap<u64, mpsc::UnboundedSender<AttemptStep>>,
    home: claims::Home,
    next_attempt_id: u64,
}

/// Attempt of a keyed request at its home. Dropping it cancels the attempt.
pub struct HomeAttempt {
    attempt_id: u64,
    home: sync::Arc<ClaimHome>,
    key: claims::ClaimKey,
    steps: mpsc::UnboundedReceiver<AttemptStep>,
}

impl ClaimHome {
    /// Creates a home without keys.
    #[must_use]
    pub fn new(
        configs: &configs::DaemonConfig,
        context: &context::Context,
        identity: claims::VmIdentity,
        peers: peer::PeerClients,
        counters: sync::Arc<telemetry::Counters>,
    ) -> Self {
        Self {
            claim_timeout: time::Duration::from_millis(configs.claims.claim_timeout_ms),
            clock: sync::Arc::clone(&context.clock),
            counters,
            identity,
            peers,
            state: sync::Mutex::new(State {
                attempts: indexmap::IndexMap::new(),
                home: claims::Home::new(&configs.claims, identity),
                next_attempt_id: 0,
            }),
            witness_failed: atomic::AtomicBool::new(false),
        }
    }

    /// Returns whether the key names this incarnation of the process as its
    /// home.
    #[must_use]
    pub fn is_home_of(&self, key: &claims::ClaimKey) -> bool {
        key.prefix.home == self.identity
    }

    /// Creates a prefix for new keys with this home and the given witness.
    #[must_use]
    pub fn prefix_for(&self, witness: claims::VmIdentity) -> claims::KeyPrefix {
        self.lock().home.prefix_for(witness)
    }

    /// Returns whether a call to a witness failed since the last call of this
    /// method. New keys then need another witness.
    pub fn take_witness_failure(&self) -> bool {
        self.witness_failed.swap(false, atomic::Ordering::Relaxed)
    }

    /// Starts an attempt of a request.
    pub fn request(
        self: &sync::Arc<Self>,
        key: &claims::ClaimKey,
        deadline_ms: u64,
        fingerprint: u64,
    ) -> HomeAttempt {
        self.start_attempt(key, |attempt_id| claims::HomeEvent::Request {
            attempt_id,
            deadline_ms,
            fingerprint,
            key: key.clone(),
        })
    }

    /// Closes the key and refuses the attempt.
    pub fn refuse(
        self: &sync::Arc<Self>,
        key: &claims::ClaimKey,
        refusal: verdict::Refusal,
    ) -> HomeAttempt {
        self.start_attempt(key, |attempt_id| claims::HomeEvent::Refuse {
            attempt_id,
            key: key.clone(),
            refusal,
        })
    }

    /// Records the outcome of a key's run.
    pub fn finish_run(self: &sync::Arc<Self>, key: claims::ClaimKey, outcome: claims::RunOutcome) {
        self.handle_event(claims::HomeEvent::Finished { key, outcome });
    }

    /// Stops claiming new keys and hands all keys over to their witnesses.
    pub fn leave(self: &sync::Arc<Self>) {
        self.handle_event(claims::HomeEvent::Leave);
    }

    /// Handles timeouts and the expiry of keys.
    pub fn tick(self: &sync::Arc<Self>) {
        self.handle_event(claims::HomeEvent::Tick);
    }

    fn start_attempt(
        self: &sync::Arc<Self>,
        key: &claims::ClaimKey,
        event: impl FnOnce(u64) -> claims::HomeEvent,
    ) -> HomeAttempt {
        let (sender, steps) = mpsc::unbounded_channel();
        let attempt_id = {
            let mut state = self.lock();
            let attempt_id = state.next_attempt_id;
            state.next_attempt_id += 1;
            state.attempts.insert(attempt_id, sender);
            attempt_id
        };
        self.handle_event(event(attempt_id));
        HomeAttempt {
            attempt_id,
            home: sync::Arc::clone(self),
            key: key.clone(),
            steps,
        }
    }

    fn handle_event(self: &sync::Arc<Self>, event: claims::HomeEvent) {
        let now_ms = self.clock.now_ms();
        let actions = {
            let mut state = self.lock();
            let actions = state.home.handle(now_ms, event);
            actions
                .into_iter()
                .filter_map(|action| state.perform_local(action))
                .collect::<Vec<_>>()
        };
        for action in actions {
            self.perform_remote(action);
        }
    }

    fn perform_remote(self: &sync::Arc<Self>, action: claims::HomeAction) {
        match action {
            claims::HomeAction::HandOver { batch, witness } => self.send_hand_over(batch, witness),
            claims::HomeAction::Run { key, .. } => self.abandon_run(key),
            claims::HomeAction::SendClaim { claim, witness } => self.send_claim(claim, witness),
            claims::HomeAction::Reply { .. } => {}
        }
    }

    /// Ends a run whose caller disconnected before anything was sent to a
    /// server.
    fn abandon_run(self: &sync::Arc<Self>, key: claims::ClaimKey) {
        let retry_after_ms = retry_after::jittered_ms(ABANDONED_RETRY_AFTER_MS);
        let refusal =
            verdict::Refusal::not_run(verdict::RefusalReason::DeadlineExceeded, retry_after_ms);
        self.counters.add("claim.abandoned");
        self.finish_run(key, claims::RunOutcome::NotRun(refusal));
    }

    fn send_claim(self: &sync::Arc<Self>, claim: claims::Claim, witness: claims::VmIdentity) {
        let home = sync::Arc::clone(self);
        home.counters.add("claim.sent");
        tokio::spawn(async move {
            let key = claim.key.clone();
            let reply = home
                .peers
                .call(
                    witness.peer_address,
                    home.claim_timeout,
                    async |client, context| client.claim(context, claim).await,
                )
                .await;
            // A failed call gets no reply any more, so the key is closed at
            // once instead of at its timeout.
            let reply = reply.unwrap_or_else(|error| {
                home.counters.add("claim.unanswered");
                home.witness_failed.store(true, atomic::Ordering::Relaxed);
                telemetry::Event::PeerUnavailable
                    .debug(|| format!("witness did not reply to a claim: {error}"));
                claims::ClaimReply::Denied
            });
            home.handle_event(claims::HomeEvent::Claimed { key, reply });
        });
    }

    fn send_hand_over(&self, batch: claims::HandOverBatch, witness: claims::VmIdentity) {
        let peers = self.peers.clone();
        let timeout = self.claim_timeout;
        self.counters.add("claim.hand_over");
        tokio::spawn(async move {
            let sent = peers
                .call(witness.peer_address, timeout, async |client, context| {
                    client.hand_over(context, batch).await
                })
                .await;
            if let Err(error) = sent {
                let message = format!("handing keys over to the witness failed: {error}");
                telemetry::Event::PeerUnavailable.warn(&message);
            }
        });
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl State {
    /// Performs the actions that concern local attempts and returns any other
    /// action. A `Run` is returned if its attempt is gone.
    fn perform_local(&mut self, action: claims::HomeAction) -> Option<claims::HomeAction> {
        match action {
            claims::HomeAction::Reply { attempt_id, reply } => {
                if let Some(attempt) = self.attempts.swap_remove(&attempt_id) {
                    let _ = attempt.send(AttemptStep::Reply(reply));
                }
                None
            }
            claims::HomeAction::Run { attempt_id, key } => {
                let attempt = self.attempts.get(&attempt_id);
                let is_delivered =
                    attempt.is_some_and(|attempt| attempt.send(AttemptStep::Run).is_ok());
                (!is_delivered).then_some(claims::HomeAction::Run { attempt_id, key })
            }
            other => Some(other),
        }
    }
}

impl HomeAttempt {
    /// Waits for the next step. Returns `None` if the home dropped the attempt.
    pub async fn next_step(&mut self) -> Option<AttemptStep> {
        self.steps.recv().await
    }
}

impl Drop for HomeAttempt {
    fn drop(&mut self) {
        let attempt_id = self.attempt_id;
        // After the removal no further step is sent to this attempt.
        let was_open = self.home.lock().attempts.swap_remove(&attempt_id).is_some();
        let has_unreceived_run = matches!(self.steps.try_recv(), Ok(AttemptStep::Run));
        if has_unreceived_run {
            self.home.abandon_run(self.key.clone());
        } else if was_open {
            self.home
                .handle_event(claims::HomeEvent::Cancelled { attempt_id });
        }
    }
}
