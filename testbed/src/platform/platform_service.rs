//! HTTP interface of the platform.

use std::{sync, time};

use bytes::Bytes;
use foxtailwinch::context;
use http::StatusCode;
use volo_http::{request, response};

use crate::{http_io, locking, platform};

/// Largest request body read, in bytes; more than the limit of a record, so
/// that the log itself rejects larger records.
const MAX_BODY_BYTES: usize = 2_097_152;

/// Number of records returned by a read without `max`.
const DEFAULT_READ_RECORDS: usize = 1_000;

/// Handles the platform's HTTP requests.
#[derive(Clone)]
pub struct PlatformService {
    clock: sync::Arc<dyn context::Clock>,
    state: sync::Arc<sync::Mutex<State>>,
}

struct State {
    log: platform::Log,
    vm_list: platform::VmList,
}

#[derive(serde::Serialize)]
struct AppendResponse {
    offset: u64,
}

#[derive(serde::Serialize)]
struct VmsResponse {
    vms: Vec<platform::Vm>,
}

impl PlatformService {
    /// Creates a platform without records and VMs.
    #[must_use]
    pub fn new(
        clock: sync::Arc<dyn context::Clock>,
        retention_ms: u64,
        vm_list_lag_ms: u64,
    ) -> Self {
        let state = State {
            log: platform::Log::new(retention_ms),
            vm_list: platform::VmList::new(vm_list_lag_ms),
        };
        Self {
            clock,
            state: sync::Arc::new(sync::Mutex::new(state)),
        }
    }

    /// Handles one request.
    pub async fn handle(self, request: request::Request) -> response::Response {
        let (parts, content) = request.into_parts();
        let path = parts.uri.path().to_owned();
        let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
        let Some(body) = http_io::read_body(content, MAX_BODY_BYTES).await else {
            return http_io::plain(StatusCode::PAYLOAD_TOO_LARGE, "body too large or truncated");
        };
        if segments == ["faults"] {
            return self.update_faults(&body);
        }
        let faults = self.lock().log.faults().clone();
        http_io::pause(time::Duration::from_millis(faults.delay_ms)).await;
        if faults.down {
            return http_io::plain(StatusCode::SERVICE_UNAVAILABLE, "down");
        }
        match (parts.method.as_str(), segments.as_slice()) {
            ("POST", ["streams", stream, "records"]) => self.append(stream, &body),
            ("GET", ["streams", stream, "records"]) => {
                self.read(stream, parts.uri.query().unwrap_or_default())
            }
            ("GET", ["vms"]) => self.visible_vms(),
            ("PUT", ["vms", id]) => self.put_vm(id, &body),
            ("DELETE", ["vms", id]) => self.change_vms(platform::VmChange::Removed {
                id: (*id).to_owned(),
            }),
            ("POST", ["vms", id, "leaving"]) => self.change_vms(platform::VmChange::Leaving {
                id: (*id).to_owned(),
            }),
            _ => http_io::plain(StatusCode::NOT_FOUND, "no such resource"),
        }
    }

    fn append(&self, stream: &str, body: &[u8]) -> response::Response {
        let Ok(text) = std::str::from_utf8(body) else {
            return http_io::plain(StatusCode::BAD_REQUEST, "a record must be UTF-8 text");
        };
        let now_unix_ms = self.clock.unix_ms();
        let mut state = self.lock();
        match state.log.append(now_unix_ms, stream, text) {
            Ok(_) if state.log.consume_lost_reply() => http_io::aborted(Bytes::new()),
            Ok(offset) => http_io::json(StatusCode::CREATED, &AppendResponse { offset }),
            Err(error @ platform::AppendError::TooLarge { .. }) => {
                http_io::plain(StatusCode::PAYLOAD_TOO_LARGE, &error.to_string())
            }
            Err(error @ platform::AppendError::TooManyAppends { .. }) => {
                http_io::plain(StatusCode::TOO_MANY_REQUESTS, &error.to_string())
            }
        }
    }

    fn update_faults(&self, body: &[u8]) -> response::Response {
        let mut state = self.lock();
        if !body.is_empty() {
            match state.log.faults().updated(body) {
                Ok(faults) => state.log.set_faults(faults),
                Err(error) => {
                    return http_io::plain(StatusCode::BAD_REQUEST, &error.to_string());
                }
            }
        }
        http_io::json(StatusCode::OK, state.log.faults())
    }

    fn change_vms(&self, change: platform::VmChange) -> response::Response {
        let now_ms = self.clock.now_ms();
        self.lock().vm_list.change(now_ms, change);
        http_io::plain(StatusCode::ACCEPTED, "")
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        locking::lock(&self.state)
    }

    fn put_vm(&self, id: &str, body: &[u8]) -> response::Response {
        match serde_json::from_slice::<platform::Vm>(body) {
            Ok(vm) if vm.id == id => self.change_vms(platform::VmChange::Put(vm)),
            Ok(_) => http_io::plain(
                StatusCode::BAD_REQUEST,
                "the id differs from the id in the path",
            ),
            Err(error) => http_io::plain(StatusCode::BAD_REQUEST, &error.to_string()),
        }
    }

    fn read(&self, stream: &str, query: &str) -> response::Response {
        let from = query_u64(query, "from").unwrap_or(0);
        let max_records = query_u64(query, "max")
            .and_then(|max| usize::try_from(max).ok())
            .unwrap_or(DEFAULT_READ_RECORDS);
        let now_unix_ms = self.clock.unix_ms();
        let result = self.lock().log.read(now_unix_ms, stream, from, max_records);
        let status = if result.is_expired(from) {
            StatusCode::GONE
        } else {
            StatusCode::OK
        };
        http_io::json(status, &result)
    }

    fn visible_vms(&self) -> response::Response {
        let now_ms = self.clock.now_ms();
        let vms = self.lock().vm_list.visible(now_ms);
        http_io::json(StatusCode::OK, &VmsResponse { vms })
    }
}

fn query_u64(query: &str, name: &str) -> Option<u64> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(key, _)| *key == name)?;
    value.parse().ok()
}
