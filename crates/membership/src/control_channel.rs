//! Authentication and replay protection of control datagrams.

use std::net::SocketAddr;

use hawthorntide_types::{Incarnation, NodeId, ResultCode};
use hawthorntide_wire::control::ControlMessage;
use hawthorntide_wire::{ControlCodec, ControlSealer, ReplayWindow};

use crate::gossip::Sender;

/// Senders whose replay windows are kept; twice the members of the design size.
const MAX_SENDERS: usize = 16_384;

#[derive(Clone, Copy, Debug)]
struct SenderWindow {
    node: NodeId,
    window: ReplayWindow,
    last_use: u64,
}

/// Rejection of a received datagram.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DroppedDatagram {
    pub code: ResultCode,
    /// Sender of a datagram that is authentic but comes from an older incarnation than one seen
    /// before. The gossip machine answers it, so that the process can raise its incarnation.
    pub stale_sender: Option<Sender>,
}

/// Authenticates and decodes received datagrams, rejects replays, and seals sent messages.
#[derive(Debug)]
pub struct ControlChannel {
    codec: ControlCodec,
    sealer: ControlSealer,
    node: NodeId,
    /// Sorted by node; the least recently used one is evicted when the list is full.
    windows: Vec<SenderWindow>,
    use_counter: u64,
    dropped: u64,
}

impl ControlChannel {
    /// Creates the channel of the process whose control socket is bound to `address`.
    pub fn new(codec: ControlCodec, address: SocketAddr, incarnation: Incarnation) -> Self {
        let node = NodeId::of_address(address);
        Self {
            sealer: codec.sealer(node, incarnation),
            codec,
            node,
            windows: Vec::new(),
            use_counter: 0,
            dropped: 0,
        }
    }

    /// Authenticates and decodes a datagram that was received from `address`.
    pub fn open(
        &mut self,
        address: SocketAddr,
        datagram: &[u8],
    ) -> Result<(Sender, ControlMessage), DroppedDatagram> {
        let opened = self.codec.open(datagram).map_err(|code| {
            self.dropped += 1;
            DroppedDatagram {
                code,
                stale_sender: None,
            }
        })?;
        let sender = Sender {
            node: opened.sender,
            incarnation: opened.incarnation,
            address,
        };
        let window = self.window(opened.sender);
        let highest = window.incarnation();
        if let Err(code) = window.accept(opened.incarnation, opened.sequence_number) {
            self.dropped += 1;
            let stale_sender = (opened.incarnation < highest).then_some(sender);
            return Err(DroppedDatagram { code, stale_sender });
        }
        Ok((sender, opened.message))
    }

    /// Seals a message; fails if it does not fit into one datagram.
    pub fn seal(&mut self, message: &ControlMessage) -> Result<Vec<u8>, ResultCode> {
        self.sealer.seal(message)
    }

    /// Sets the incarnation with which later messages are sealed.
    pub fn raise_incarnation(&mut self, incarnation: Incarnation) {
        self.sealer = self.codec.sealer(self.node, incarnation);
    }

    /// Returns the number of dropped datagrams.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    fn window(&mut self, node: NodeId) -> &mut ReplayWindow {
        self.use_counter += 1;
        let found = self.windows.binary_search_by_key(&node, |held| held.node);
        let index = found.unwrap_or_else(|_| self.add_window(node));
        let held = &mut self.windows[index];
        held.last_use = self.use_counter;
        &mut held.window
    }

    fn add_window(&mut self, node: NodeId) -> usize {
        if self.windows.len() >= MAX_SENDERS {
            let oldest = self.windows.iter().enumerate();
            let oldest = oldest.min_by_key(|(_, held)| held.last_use);
            if let Some((index, _)) = oldest {
                self.windows.remove(index);
            }
        }
        let index = self.windows.partition_point(|held| held.node < node);
        let window = SenderWindow {
            node,
            window: ReplayWindow::default(),
            last_use: self.use_counter,
        };
        self.windows.insert(index, window);
        index
    }
}
