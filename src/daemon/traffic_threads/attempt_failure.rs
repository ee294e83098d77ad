//! What to do after an attempt that brought no answer.

use volo_http::response;

use crate::daemon;
use crate::daemon::traffic_threads::server_client;
use crate::health;
use crate::verdict;

/// What to do after an attempt that brought no answer.
pub struct AttemptFailure {
    /// What it says of the server; nothing where it says nothing.
    pub outcome: Option<health::OutcomeKind>,
    /// Why no answer came.
    pub reason: verdict::RefusalReason,
    /// Why another server may be tried; nothing where it must not.
    pub retry: Option<verdict::RetryReason>,
    /// Whether the attempt may have run.
    pub verdict: verdict::RunVerdict,
}

/// Gives what to do after a request that could not be sent, or got no answer.
#[must_use]
pub fn from_send_error(
    error: daemon::SendError,
    prepared: &daemon::PreparedRequest,
    payload: &daemon::Payload,
) -> AttemptFailure {
    let idempotent_retry = prepared
        .idempotent
        .then_some(verdict::RetryReason::IdempotentConnectionLost);
    match (error, payload.body_error()) {
        (daemon::SendError::Connect, _) => AttemptFailure {
            outcome: Some(health::OutcomeKind::ConnectFailed),
            reason: verdict::RefusalReason::NoServer,
            retry: Some(verdict::RetryReason::ConnectFailed),
            verdict: verdict::RunVerdict::NotRun,
        },
        (_, Some(body_error)) => AttemptFailure {
            outcome: None,
            reason: body_error_reason(body_error),
            retry: None,
            verdict: verdict::RunVerdict::MayHaveRun,
        },
        (daemon::SendError::ConnectionLost, None) => AttemptFailure {
            outcome: Some(health::OutcomeKind::Truncated),
            reason: verdict::RefusalReason::ConnectionLost,
            retry: idempotent_retry,
            verdict: verdict::RunVerdict::MayHaveRun,
        },
        (daemon::SendError::TimedOut, None) => AttemptFailure {
            outcome: Some(health::OutcomeKind::TimedOut),
            reason: verdict::RefusalReason::DeadlineExceeded,
            retry: None,
            verdict: verdict::RunVerdict::MayHaveRun,
        },
    }
}

/// Checks the head of an answer.
///
/// # Errors
///
/// Gives what to do about an answer that is not passed on.
pub fn check_response(
    response: &response::Response,
    prepared: &daemon::PreparedRequest,
    report: daemon::ServerReport,
) -> Result<(), AttemptFailure> {
    // Before anything the answer says is believed, it must be this request's.
    if !server_client::is_response_to(response, &prepared.request_id) {
        return Err(AttemptFailure {
            outcome: Some(health::OutcomeKind::Mismatched),
            reason: verdict::RefusalReason::AnswerMismatched,
            retry: prepared
                .idempotent
                .then_some(verdict::RetryReason::IdempotentConnectionLost),
            verdict: verdict::RunVerdict::MayHaveRun,
        });
    }
    if report.not_run && response.status() == http::StatusCode::SERVICE_UNAVAILABLE {
        return Err(AttemptFailure {
            outcome: None,
            reason: verdict::RefusalReason::ServerShed,
            retry: Some(verdict::RetryReason::ServerShed),
            verdict: verdict::RunVerdict::NotRun,
        });
    }
    if !server_client::has_delimited_body(response, &prepared.head.method) {
        return Err(AttemptFailure {
            outcome: Some(health::OutcomeKind::Truncated),
            reason: verdict::RefusalReason::AnswerTruncated,
            retry: None,
            verdict: verdict::RunVerdict::MayHaveRun,
        });
    }
    Ok(())
}

/// Gives the reason for refusing a request whose caller stopped sending.
#[must_use]
pub const fn body_error_reason(body_error: daemon::RequestBodyError) -> verdict::RefusalReason {
    match body_error {
        daemon::RequestBodyError::ConnectionLost => verdict::RefusalReason::ConnectionLost,
        daemon::RequestBodyError::IdleTimeout => verdict::RefusalReason::CallerTooSlow,
        daemon::RequestBodyError::TooLarge => verdict::RefusalReason::BodyTooLarge,
    }
}
