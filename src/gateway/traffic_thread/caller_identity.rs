//! Identification of callers by the headers of their requests.

use std::sync;
use std::time;

use crate::gateway;
use crate::gateway::traffic_thread::relay_exchange;
use crate::gateway::traffic_thread::routed_request;
use crate::ports;
use crate::verdict;

/// Retry delay sent to callers whose key may be in a newer configuration than this VM
/// has, in milliseconds. Newer configurations spread in less time.
const OUTDATED_RETRY_AFTER_MS: u64 = 300;
/// Longest time that a request with an unknown key waits for a newer or confirmed
/// configuration, in milliseconds. Confirmations arrive every 1,300 ms or so, since each
/// read of the store waits 1,000 ms for a change.
const MAX_WAIT_MS: u64 = 1_500;
/// Age of the last confirmation from which on a VM does not expect the next one soon, in
/// milliseconds.
const MAX_AWAITED_AGE_MS: u64 = 4_000;
/// Interval at which a waiting request is identified again.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Means by which a request identifies its caller.
#[derive(Debug, Default)]
pub struct Credentials {
    /// Whether the request has a key header, so that no VM has relayed it.
    has_key_header: bool,
    /// Digest of the key; `None` if there is none.
    pub key: Option<ports::KeyDigest>,
    /// Name of the organisation that the request was found to come from.
    pub organisation: Option<String>,
    /// Proof by which the VM that relayed the request states the organisation.
    proof: Option<gateway::OrganisationProof>,
    /// Terms on which another VM relayed the request, if they are valid.
    pub relay: Option<gateway::RelayTerms>,
}

impl Credentials {
    /// Reads the credentials of a request, and removes the headers that entry VMs send
    /// each other.
    pub fn take(headers: &mut http::HeaderMap, names: &ports::HeaderNames) -> Self {
        let relay = headers.remove(relay_exchange::RELAY_HEADER);
        let proof = headers.remove(relay_exchange::ORGANISATION_HEADER);
        // A request with two keys could be taken for either organisation's.
        let mut keys = headers.get_all(&names.api_key).iter();
        let key = keys.next().filter(|_| keys.next().is_none());
        let key = key.filter(|key| !key.is_empty());
        Self {
            has_key_header: headers.contains_key(&names.api_key),
            key: key.map(|key| ports::KeyDigest::of(key.as_bytes())),
            organisation: None,
            proof: proof.and_then(|proof| proof.to_str().ok()?.parse().ok()),
            relay: relay.and_then(|terms| terms.to_str().ok()?.parse().ok()),
        }
    }

    /// Checks the statements of the VM that relayed the request by the configuration in
    /// force.
    ///
    /// Callers can send these headers too. Entry VMs never send a key header, and on a
    /// route that is not public they always send a proof.
    ///
    /// # Errors
    ///
    /// Returns a refusal by which another VM is asked if this VM's configuration is older
    /// than the sender's or does not contain the key of the proof.
    pub fn check_relay(
        &mut self,
        routes: &gateway::RouteIndex,
        host: &str,
        path: &str,
        request_id: &str,
    ) -> Result<(), verdict::Refusal> {
        let declined = verdict::Refusal::not_run(verdict::RefusalReason::NoConfiguration, 0);
        let names_organisations = !routes.organisations.is_empty();
        if names_organisations && self.has_key_header {
            self.relay = None;
        }
        let Some(terms) = self.relay else {
            return Ok(());
        };
        if terms.version > routes.configuration.version {
            return Err(declined);
        }
        if !names_organisations {
            return Ok(());
        }
        if let Some(proof) = &self.proof {
            self.key = routes.organisations.find_by_proof(proof, request_id);
            return self.key.map(|_| ()).ok_or(declined);
        }
        if routes
            .find(host, path)
            .is_some_and(|route| !route.is_public)
        {
            self.relay = None;
        }
        Ok(())
    }
}

/// Removes the headers by which callers identify themselves or might pose as an
/// organisation.
pub fn remove_headers(headers: &mut http::HeaderMap, names: &ports::HeaderNames) {
    headers.remove(&names.api_key);
    headers.remove(&names.organisation);
}

/// Identifies the organisation of a request by a snapshot at a time.
fn identify<'a>(
    now_ms: u64,
    snapshot: &gateway::Snapshot,
    routes: &'a gateway::RouteIndex,
    key: Option<ports::KeyDigest>,
    is_public: bool,
) -> gateway::Identification<'a> {
    let request = gateway::IdentificationRequest {
        confirmation_age_ms: snapshot.confirmation_age_ms(now_ms),
        is_public,
        key,
        newest_known_version: snapshot.newest_known_version,
    };
    gateway::identify(routes, &request)
}

/// Returns the organisation of a request by a snapshot at a time; `None` if the request is
/// served without one.
///
/// # Errors
///
/// Returns the refusal of a request whose key is unknown.
pub fn organisation<'a>(
    shared: &gateway::Shared,
    now_ms: u64,
    snapshot: &gateway::Snapshot,
    routes: &'a gateway::RouteIndex,
    key: Option<ports::KeyDigest>,
    is_public: bool,
) -> Result<Option<&'a ports::Organisation>, verdict::Refusal> {
    match identify(now_ms, snapshot, routes, key, is_public) {
        gateway::Identification::Organisation(organisation) => Ok(Some(organisation)),
        gateway::Identification::NoOrganisation => Ok(None),
        gateway::Identification::KeyUnknown => Err(verdict::Refusal::not_run(
            verdict::RefusalReason::KeyUnknown,
            0,
        )),
        gateway::Identification::ConfigurationOutdated => Err(outdated(shared)),
    }
}

fn outdated(shared: &gateway::Shared) -> verdict::Refusal {
    verdict::Refusal::not_run(
        verdict::RefusalReason::NoConfiguration,
        gateway::jittered_ms(OUTDATED_RETRY_AFTER_MS, shared.random_value()),
    )
}

/// Waits until a request whose key is unknown can be identified. Returns the snapshot by
/// which it can, and the time at which it could: a moment later, the confirmation may be too
/// old.
///
/// Callers do not send a request again after a refusal with status 503, and a newer or
/// confirmed configuration is usually on its way. The wait is bounded, and so is the
/// number of requests that wait.
pub async fn wait_until_identified(
    shared: &gateway::Shared,
    mut snapshot: sync::Arc<gateway::Snapshot>,
    credentials: &Credentials,
    host: &str,
    path: &str,
    time_left_ms: u64,
) -> (sync::Arc<gateway::Snapshot>, u64) {
    let must_wait = |snapshot: &gateway::Snapshot, now_ms| {
        let routes = snapshot.routes.as_ref();
        let Some(routes) = routes.filter(|routes| !routes.organisations.is_empty()) else {
            return false;
        };
        let is_public = routes.find(host, path).is_some_and(|route| route.is_public);
        let identification = identify(now_ms, snapshot, routes, credentials.key, is_public);
        let age_ms = snapshot.confirmation_age_ms(now_ms);
        credentials.relay.is_none()
            && identification == gateway::Identification::ConfigurationOutdated
            && age_ms.is_some_and(|age_ms| age_ms <= MAX_AWAITED_AGE_MS)
    };
    let mut now_ms = shared.now_ms();
    if !must_wait(&snapshot, now_ms) {
        return (snapshot, now_ms);
    }
    let Ok(_permit) = shared.identification_waits.try_acquire() else {
        return (snapshot, now_ms);
    };
    // The caller's request must still be served after the wait.
    let wait_ms = time_left_ms.saturating_sub(shared.mean_run_ms(""));
    let end_ms = now_ms + MAX_WAIT_MS.min(wait_ms);
    while must_wait(&snapshot, now_ms) && now_ms < end_ms {
        tokio::time::sleep(POLL_INTERVAL).await;
        snapshot = shared.snapshot.load_full();
        now_ms = shared.now_ms();
    }
    (snapshot, now_ms)
}

/// Checks the key of a request again, by the configuration now in force. `version` is that
/// by which the request was identified.
///
/// # Errors
///
/// Returns a refusal if the key was withdrawn or now belongs to another organisation.
pub fn check_again(
    shared: &gateway::Shared,
    routed: &mut routed_request::RoutedRequest<'_>,
    version: u64,
) -> Result<(), verdict::Refusal> {
    let snapshot = shared.snapshot.load();
    let index = snapshot.routes.as_ref();
    let Some(index) = index.filter(|index| index.configuration.version != version) else {
        return Ok(());
    };
    if !index.organisations.is_empty() {
        // The configuration by which the request was identified may have named none.
        remove_headers(&mut routed.head.headers, &shared.headers);
    }
    let host = host(&routed.head.headers);
    let route = index.find(host, routed.head.uri.path());
    let is_public = route.unwrap_or(routed.route).is_public;
    let now_ms = shared.now_ms();
    let organisation = organisation(shared, now_ms, &snapshot, index, routed.key, is_public)?;
    let name = organisation.map(|organisation| &organisation.name);
    if routed.organisation.map(|known| &known.name) == name {
        return Ok(());
    }
    if name.is_some() && !is_public {
        return Err(outdated(shared));
    }
    routed.organisation = None;
    Ok(())
}

/// Returns the host that a request names; empty if it names none.
pub fn host(headers: &http::HeaderMap) -> &str {
    let host = headers.get(http::header::HOST);
    host.and_then(|host| host.to_str().ok()).unwrap_or("")
}
