//! Limits of the administration API.

use std::time::Duration;

/// Limits that keep the API from costing the balancer more than a small part of its VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdminLimits {
    /// Connections that are open at a time; more are closed at once.
    pub open_connections: usize,
    /// Largest body.
    pub body_bytes: usize,
    /// Largest header section.
    pub header_bytes: usize,
    /// Most headers.
    pub headers: usize,
    /// Longest time until the headers of a request are complete; also the longest idle time.
    pub header_time: Duration,
    /// Longest time until a body is complete.
    pub body_time: Duration,
    /// Longest life of a connection, so that a caller that does not read its answers is cut.
    pub connection_time: Duration,
}

impl Default for AdminLimits {
    fn default() -> Self {
        Self {
            open_connections: 128,
            body_bytes: 64 * 1024,
            header_bytes: 8 * 1024,
            headers: 32,
            header_time: Duration::from_secs(5),
            body_time: Duration::from_secs(5),
            connection_time: Duration::from_mins(1),
        }
    }
}
