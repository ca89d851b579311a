//! Connection of an emulated upstream whose bytes can be cut, held back or corrupted.

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

/// Time after which a held connection looks again whether it is still held.
const RECHECK: Duration = Duration::from_millis(10);
/// Mask that turns the bytes of a correct answer into garbage.
const GARBAGE_MASK: u8 = 0xa5;

/// Behaviour of the connections of an emulated upstream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[repr(u8)]
pub enum UpstreamFault {
    /// Bytes pass unchanged.
    #[default]
    None,
    /// No byte is read or written, as with a stopped process; connections stay open.
    Frozen,
    /// Each byte sent to the agent is wrong.
    Garbage,
}

/// Fault that all connections of one upstream share.
#[derive(Debug, Default)]
pub(crate) struct FaultCell(AtomicU8);

impl FaultCell {
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

pub(crate) struct Link {
    stream: TcpStream,
    fault: Arc<FaultCell>,
    cut: Pin<Box<WaitForCancellationFutureOwned>>,
    recheck: Pin<Box<Sleep>>,
}

impl Link {
    pub(crate) fn new(stream: TcpStream, fault: Arc<FaultCell>, cut: CancellationToken) -> Self {
        Self {
            stream,
            fault,
            cut: Box::pin(cut.cancelled_owned()),
            recheck: Box::pin(tokio::time::sleep(Duration::ZERO)),
        }
    }

    /// Returns ready when bytes may move.
    fn poll_open(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.cut.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        while self.fault.get() == UpstreamFault::Frozen {
            if self.recheck.as_mut().poll(cx).is_pending() {
                return Poll::Pending;
            }
            let next = tokio::time::Instant::now() + RECHECK;
            self.recheck.as_mut().reset(next);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for Link {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        std::task::ready!(self.poll_open(cx))?;
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl AsyncWrite for Link {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        std::task::ready!(self.poll_open(cx))?;
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

impl Connected for Link {
    type ConnectInfo = ();

    fn connect_info(&self) {}
}
