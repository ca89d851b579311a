//! UDP sockets and the clock of a process.

use std::net::SocketAddr;
use std::time::Instant;

use displaydoc::Display;
use hawthorntide_types::TimeMs;
use thiserror::Error;
use tokio::net::UdpSocket;

/// Size limit of datagrams between processes; the longest carry the records of 48 peers.
pub(crate) const MAX_DATAGRAM_BYTES: usize = 16 * 1024;

/// Limit on the datagrams that are received from a socket before the task yields to others.
const RECEIVE_BATCH: usize = 64;

/// Error of starting a process.
#[derive(Debug, Display, Error)]
pub enum StartError {
    /// cannot bind {address}: {source}
    Bind {
        address: SocketAddr,
        source: std::io::Error,
    },
    /// cannot create the client of the platform store
    StoreClient,
    /// cannot create the HTTP client for other balancers
    ConfigurationClient,
}

/// Monotonic clock of the process. It does not start at zero, so that times before the start of the
/// process can be represented.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock(Instant);

impl Clock {
    /// Time at the start of the process.
    const START_MS: u64 = 1_000_000;

    pub(crate) fn start() -> Self {
        Self(Instant::now())
    }

    pub(crate) fn now(&self) -> TimeMs {
        TimeMs(Self::START_MS + self.0.elapsed().as_millis() as u64)
    }
}

pub(crate) async fn bind(address: SocketAddr) -> Result<UdpSocket, StartError> {
    UdpSocket::bind(address)
        .await
        .map_err(|source| StartError::Bind { address, source })
}

/// Passes each datagram of `socket` to `on_datagram`; returns if the socket fails permanently.
pub(crate) async fn receive(
    socket: &UdpSocket,
    buffer_bytes: usize,
    mut on_datagram: impl FnMut(&mut [u8], SocketAddr),
) {
    let mut buffer = vec![0; buffer_bytes];
    loop {
        if let Err(error) = socket.readable().await {
            log::error!("relay: Cannot wait for datagrams: {error}.");
            return;
        }
        for _ in 0..RECEIVE_BATCH {
            match socket.try_recv_from(&mut buffer) {
                Ok((bytes, from)) => on_datagram(&mut buffer[..bytes], from),
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => break,
                // The ICMP error for an earlier datagram that had no receiver.
                Err(error) => log::debug!("relay: Datagram not delivered: {error}."),
            }
        }
        tokio::task::yield_now().await;
    }
}

/// Sends a datagram without waiting. A datagram that cannot be sent, for example because the send
/// buffer is full, is counted and dropped, like one that the network loses.
pub(crate) fn send(socket: &UdpSocket, datagram: &[u8], to: SocketAddr) {
    if let Err(error) = socket.try_send_to(datagram, to) {
        metrics::counter!("hawthorntide_relay_sends_failed_total").increment(1);
        log::debug!("relay: Datagram to {to} not sent: {error}.");
    }
}
