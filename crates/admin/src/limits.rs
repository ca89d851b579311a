//! Resource limits of the administration API.

use std::time::Duration;

/// Limits that leave most of the resources of the VM to the forwarding of packets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdminLimits {
    /// Connections beyond this number are closed at once.
    pub max_open_connections: usize,
    pub max_body_bytes: usize,
    /// Limit on the size of the header section; values below 8 KiB are raised to 8 KiB.
    pub max_header_bytes: usize,
    pub max_headers: usize,
    /// Time limit for receiving the headers of a request; also the idle timeout.
    pub header_timeout: Duration,
    /// Time limit for receiving the body of a request.
    pub body_timeout: Duration,
    /// Connections are closed at this age, so that a client that does not read responses cannot hold
    /// one open.
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
