//! Datagram sockets.

use std::net::SocketAddr;
use std::time::Instant;

use displaydoc::Display;
use hawthorntide_types::TimeMs;
use thiserror::Error;
use tokio::net::UdpSocket;

/// Largest datagram between processes: gossip about 48 processes is the longest.
pub(crate) const MAX_DATAGRAM_BYTES: usize = 16 * 1024;

/// Datagrams that are taken from a socket before other tasks run.
const BATCH: usize = 64;

/// Failure to bind an address of the settings.
#[derive(Debug, Display, Error)]
pub enum StartError {
    /// cannot bind {address}: {source}
    Bind {
        /// Address.
        address: SocketAddr,
        /// Reason.
        source: std::io::Error,
    },
    /// cannot prepare calls of the platform store
    StoreClient,
    /// cannot prepare calls of other balancers
    ConfigurationClient,
}

/// Steady clock of the process; it starts late enough for times before the start to be told.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock(Instant);

impl Clock {
    /// Point of time at the start of the process.
    const START_MS: u64 = 1_000_000;

    pub(crate) fn start() -> Self {
        Self(Instant::now())
    }

    pub(crate) fn now(&self) -> TimeMs {
        TimeMs(Self::START_MS + self.0.elapsed().as_millis() as u64)
    }
}

/// Binds a socket for datagrams.
pub(crate) async fn bind(address: SocketAddr) -> Result<UdpSocket, StartError> {
    UdpSocket::bind(address)
        .await
        .map_err(|source| StartError::Bind { address, source })
}

/// Hands each datagram of `socket` to `take` until the socket fails for good.
pub(crate) async fn receive(
    socket: &UdpSocket,
    buffer_bytes: usize,
    mut take: impl FnMut(&mut [u8], SocketAddr),
) {
    let mut buffer = vec![0; buffer_bytes];
    loop {
        if let Err(error) = socket.readable().await {
            log::error!("relay: Cannot wait for datagrams: {error}.");
            return;
        }
        for _ in 0..BATCH {
            match socket.try_recv_from(&mut buffer) {
                Ok((bytes, from)) => take(&mut buffer[..bytes], from),
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => break,
                // The answer to an earlier datagram that found no receiver.
                Err(error) => log::debug!("relay: A datagram had no receiver: {error}."),
            }
        }
        tokio::task::yield_now().await;
    }
}

/// Sends a datagram; one that finds no room is dropped, as on the way.
pub(crate) fn send(socket: &UdpSocket, datagram: &[u8], to: SocketAddr) {
    if let Err(error) = socket.try_send_to(datagram, to) {
        metrics::counter!("hawthorntide_relay_sends_failed_total").increment(1);
        log::debug!("relay: Datagram to {to} not sent: {error}.");
    }
}
