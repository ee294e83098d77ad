//! In-memory log for tests of components that use the log.

use std::sync;

use futures::FutureExt as _;
use futures::future;

use crate::config_fold;
use crate::log_client;

/// Fault that a [`FakeLog`] injects into its calls.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Fault {
    /// Every call fails without effect.
    Down,
    /// Appends take effect but their replies are lost.
    LostReply,
    /// Appends have no effect and their replies are lost.
    LostRequest,
    /// Calls succeed.
    #[default]
    None,
}

/// In-memory log that injects faults on demand.
#[derive(Debug, Default)]
pub struct FakeLog {
    state: sync::Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    fault: Fault,
    faulty_call_count: Option<u32>,
    first_offset: u64,
    now_unix_ms: u64,
    records: Vec<config_fold::LogRecord>,
    vms: Vec<log_client::VmEntry>,
}

impl FakeLog {
    /// Injects `fault` into the next `call_count` appends, or into all further
    /// appends if `call_count` is `None`. While [`Fault::Down`] applies, reads
    /// fail too.
    pub fn set_fault(&self, fault: Fault, call_count: Option<u32>) {
        let mut state = self.lock();
        state.fault = fault;
        state.faulty_call_count = call_count;
    }

    /// Advances the log's clock by `step_ms` milliseconds.
    pub fn advance(&self, step_ms: u64) {
        self.lock().now_unix_ms += step_ms;
    }

    /// Removes the records before `offset`, as if they had expired.
    pub fn expire_before(&self, offset: u64) {
        let mut state = self.lock();
        state.records.retain(|record| record.offset >= offset);
        state.first_offset = state.first_offset.max(offset);
    }

    /// Replaces the VM list.
    pub fn set_vms(&self, vms: Vec<log_client::VmEntry>) {
        self.lock().vms = vms;
    }

    /// Returns all records that have not expired.
    #[must_use]
    pub fn records(&self) -> Vec<config_fold::LogRecord> {
        self.lock().records.clone()
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl State {
    fn next_offset(&self) -> u64 {
        self.records
            .last()
            .map_or(self.first_offset, |last| last.offset + 1)
    }

    fn take_fault(&mut self) -> Fault {
        match &mut self.faulty_call_count {
            Some(0) => Fault::None,
            Some(left) => {
                *left -= 1;
                self.fault
            }
            None => self.fault,
        }
    }

    fn push(&mut self, body: String) -> u64 {
        let offset = self.next_offset();
        self.records.push(config_fold::LogRecord {
            appended_unix_ms: self.now_unix_ms,
            body,
            offset,
        });
        offset
    }

    fn append(&mut self, body: String) -> Result<log_client::Appended, log_client::LogError> {
        match self.take_fault() {
            Fault::None => Ok(log_client::Appended {
                offset: self.push(body),
            }),
            Fault::Down => unavailable(),
            Fault::LostReply => {
                self.push(body);
                lost_reply()
            }
            Fault::LostRequest => lost_reply(),
        }
    }

    fn read(
        &self,
        from: u64,
        max_count: usize,
    ) -> Result<log_client::LogBatch, log_client::LogError> {
        if self.fault == Fault::Down && self.faulty_call_count != Some(0) {
            return unavailable();
        }
        let is_requested =
            |record: &&config_fold::LogRecord| from >= self.first_offset && record.offset >= from;
        let records = self
            .records
            .iter()
            .filter(is_requested)
            .take(max_count)
            .cloned();
        Ok(log_client::LogBatch {
            first_offset: self.first_offset,
            next_offset: self.next_offset(),
            records: records.collect(),
        })
    }
}

fn unavailable<T>() -> Result<T, log_client::LogError> {
    let reason = "the log is down";
    log_client::log_error::NoEffectSnafu { reason }.fail()
}

fn lost_reply<T>() -> Result<T, log_client::LogError> {
    let reason = "no reply";
    log_client::log_error::MayHaveTakenEffectSnafu { reason }.fail()
}

impl log_client::LogClient for FakeLog {
    fn append<'a>(
        &'a self,
        _stream: &'a str,
        body: String,
    ) -> future::BoxFuture<'a, Result<log_client::Appended, log_client::LogError>> {
        future::ready(self.lock().append(body)).boxed()
    }

    fn read<'a>(
        &'a self,
        _stream: &'a str,
        from: u64,
        max_count: usize,
    ) -> future::BoxFuture<'a, Result<log_client::LogBatch, log_client::LogError>> {
        future::ready(self.lock().read(from, max_count)).boxed()
    }

    fn vms(&self) -> future::BoxFuture<'_, Result<Vec<log_client::VmEntry>, log_client::LogError>> {
        future::ready(Ok(self.lock().vms.clone())).boxed()
    }
}
