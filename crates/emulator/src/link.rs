//! TCP connection of an emulated upstream that can be reset, frozen or made to send corrupted
//! bytes.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;
use tokio_util::sync::{CancellationToken, WaitForCancellationFutureOwned};
use tonic::transport::server::Connected;

/// Interval at which a frozen connection checks whether the fault has been cleared.
const FROZEN_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Each corrupted byte is the XOR of the original byte and this mask.
const GARBAGE_MASK: u8 = 0xa5;

/// Fault injected into all connections of an emulated upstream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[repr(u8)]
pub enum UpstreamFault {
    /// Connections work normally.
    #[default]
    None,
    /// Connections stay open, but nothing is read or written, as with a stopped process.
    Frozen,
    /// Every byte sent to the agent is corrupted.
    Garbage,
}

/// Fault setting shared by all connections of one upstream.
#[derive(Debug, Default)]
pub(crate) struct SharedFault(AtomicU8);

impl SharedFault {
    pub(crate) fn set(&self, fault: UpstreamFault) {
        self.0.store(fault as u8, Ordering::Relaxed);
    }

    pub(crate) fn get(&self) -> UpstreamFault {
        match self.0.load(Ordering::Relaxed) {
            1 => UpstreamFault::Frozen,
            2 => UpstreamFault::Garbage,
            _ => UpstreamFault::None,
        }
    }
}

pub(crate) struct FaultyStream {
    stream: TcpStream,
    fault: Arc<SharedFault>,
    shutdown: Pin<Box<WaitForCancellationFutureOwned>>,
    poll_timer: Pin<Box<Sleep>>,
}

impl FaultyStream {
    pub(crate) fn new(
        stream: TcpStream,
        fault: Arc<SharedFault>,
        shutdown: CancellationToken,
    ) -> Self {
        Self {
            stream,
            fault,
            shutdown: Box::pin(shutdown.cancelled_owned()),
            poll_timer: Box::pin(tokio::time::sleep(Duration::ZERO)),
        }
    }

    /// Pending while the connection is frozen; fails once the upstream has been killed.
    fn poll_fault(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.shutdown.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        while self.fault.get() == UpstreamFault::Frozen {
            if self.poll_timer.as_mut().poll(cx).is_pending() {
                return Poll::Pending;
            }
            let next = tokio::time::Instant::now() + FROZEN_POLL_INTERVAL;
            self.poll_timer.as_mut().reset(next);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for FaultyStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        std::task::ready!(self.poll_fault(cx))?;
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl AsyncWrite for FaultyStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        std::task::ready!(self.poll_fault(cx))?;
        if self.fault.get() != UpstreamFault::Garbage {
            return Pin::new(&mut self.stream).poll_write(cx, bytes);
        }
        let garbage: Vec<u8> = bytes.iter().map(|byte| byte ^ GARBAGE_MASK).collect();
        Pin::new(&mut self.stream).poll_write(cx, &garbage)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl Connected for FaultyStream {
    type ConnectInfo = ();

    fn connect_info(&self) {}
}
