//! Resource limits of the administration API.

use std::time::Duration;

/// Limits that keep the API from using more than a small part of the VM that forwards traffic.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdminLimits {
    /// Connections beyond this number are closed at once.
    pub max_open_connections: usize,
    pub max_body_bytes: usize,
    /// Limit of the header section; values below 8 KiB are raised to it.
    pub max_header_bytes: usize,
    pub max_headers: usize,
    /// Limit of the time until the headers of a request are complete; also the idle timeout.
    pub header_timeout: Duration,
    /// Limit of the time until a request body is complete.
    pub body_timeout: Duration,
    /// Age at which a connection is closed, so that a client that does not read responses cannot hold
    /// it.
    pub max_connection_age: Duration,
}

impl Default for AdminLimits {
    fn default() -> Self {
        Self {
            max_open_connections: 128,
            max_body_bytes: 64 * 1024,
            max_header_bytes: 8 * 1024,
            max_headers: 32,
            header_timeout: Duration::from_secs(5),
            body_timeout: Duration::from_secs(5),
            max_connection_age: Duration::from_mins(1),
        }
    }
}
