//! Failed attempts and how the runner reacts to them.

use volo_http::response;

use crate::daemon;
use crate::daemon::traffic_threads::server_client;
use crate::health;
use crate::verdict;

/// Reason and consequences of a failed attempt.
pub struct AttemptFailure {
    /// Outcome recorded for the server; `None` if the failure is not evidence
    /// about the server.
    pub outcome: Option<health::OutcomeKind>,
    /// Reason for refusing the request if it is not retried.
    pub reason: verdict::RefusalReason,
    /// Reason for a retry on another server; `None` if the request must not be
    /// sent again.
    pub retry: Option<verdict::RetryReason>,
    /// Whether the attempt may have run.
    pub verdict: verdict::RunVerdict,
}

/// Returns the failure of an attempt that could not be sent or got no response.
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

/// Checks the head of a response.
///
/// # Errors
///
/// Returns the failure of the attempt if the response must not be forwarded to
/// the caller.
pub fn check_response(
    response: &response::Response,
    prepared: &daemon::PreparedRequest,
    report: daemon::ServerReport,
) -> Result<(), AttemptFailure> {
    // The id is checked first: the status and the headers of a response to
    // another request are no evidence about this one.
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

/// Returns the reason for refusing a request whose body could not be read from
/// the caller.
#[must_use]
pub const fn body_error_reason(body_error: daemon::RequestBodyError) -> verdict::RefusalReason {
    match body_error {
        daemon::RequestBodyError::ConnectionLost => verdict::RefusalReason::ConnectionLost,
        daemon::RequestBodyError::IdleTimeout => verdict::RefusalReason::CallerTooSlow,
        daemon::RequestBodyError::TooLarge => verdict::RefusalReason::BodyTooLarge,
    }
}
