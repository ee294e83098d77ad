//! Names of a platform's HTTP headers.

use http::header;

/// Names of the HTTP headers that the gateway reads and sets.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Key by which a caller identifies its organisation.
    pub api_key: header::HeaderName,
    /// Remaining time for which the sender of the request, a caller or a
    /// gateway, waits for the response, in milliseconds.
    pub deadline_ms: header::HeaderName,
    /// Backend server that the request is meant for. Any other server responds
    /// with status 421.
    pub expected_backend: header::HeaderName,
    /// Id of the backend server, in its responses to health checks.
    pub instance_id: header::HeaderName,
    /// `1` in each response of a backend server that leaves.
    pub leaving: header::HeaderName,
    /// Present in a response if the backend server did not run the request.
    pub not_run: header::HeaderName,
    /// Name of the organisation that a request comes from, for the backend server.
    pub organisation: header::HeaderName,
    /// Id of one attempt of a caller; backend servers echo it.
    pub request_id: header::HeaderName,
    /// Requests a second that a backend server takes from all VMs together, in its
    /// responses.
    pub send_limit: header::HeaderName,
    /// Signature that a backend server adds to its responses.
    pub signature: header::HeaderName,
}
