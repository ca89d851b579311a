//! Gate in front of a state machine: opens control datagrams and drops what is not acceptable.

use std::net::SocketAddr;

use hawthorntide_types::{Incarnation, NodeId, ResultCode};
use hawthorntide_wire::control::ControlMessage;
use hawthorntide_wire::{ControlCodec, ControlSealer, ReplayWindow};

use crate::gossip::Sender;

/// Senders whose numbers are remembered; twice the members of the design size.
const MAX_SENDERS: usize = 16_384;

#[derive(Clone, Copy, Debug)]
struct Window {
    node: NodeId,
    window: ReplayWindow,
    used_at: u64,
}

/// Datagram that did not pass.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Dropped {
    /// Why it was dropped.
    pub code: ResultCode,
    /// Sender, when its tag was valid but its incarnation is old; the machine answers it.
    pub stale: Option<Sender>,
}

/// Opens datagrams, refuses replays, and seals outgoing messages.
#[derive(Debug)]
pub struct ControlGate {
    codec: ControlCodec,
    sealed: ControlSealer,
    node: NodeId,
    /// In ascending order of nodes.
    windows: Vec<Window>,
    uses: u64,
    dropped: u64,
}

impl ControlGate {
    /// Creates the gate of the process whose control socket is at `address`.
    pub fn new(codec: ControlCodec, address: SocketAddr, incarnation: Incarnation) -> Self {
        let node = NodeId::of_address(address);
        Self {
            sealed: codec.sealer(node, incarnation),
            codec,
            node,
            windows: Vec::new(),
            uses: 0,
            dropped: 0,
        }
    }

    /// Checks and decodes a datagram from `address`.
    pub fn open(
        &mut self,
        address: SocketAddr,
        datagram: &[u8],
    ) -> Result<(Sender, ControlMessage), Dropped> {
        let opened = self.codec.open(datagram).map_err(|code| {
            self.dropped += 1;
            Dropped { code, stale: None }
        })?;
        let sender = Sender {
            node: opened.sender,
            incarnation: opened.incarnation,
            address,
        };
        let window = self.window(opened.sender);
        let highest = window.incarnation();
        if let Err(code) = window.accept(opened.incarnation, opened.number) {
            self.dropped += 1;
            let stale = (opened.incarnation < highest).then_some(sender);
            return Err(Dropped { code, stale });
        }
        Ok((sender, opened.message))
    }

    /// Seals a message; fails when it does not fit a datagram.
    pub fn seal(&mut self, message: &ControlMessage) -> Result<Vec<u8>, ResultCode> {
        self.sealed.seal(message)
    }

    /// Seals later messages with a raised incarnation.
    pub fn raise_incarnation(&mut self, incarnation: Incarnation) {
        self.sealed = self.codec.sealer(self.node, incarnation);
    }

    /// Returns the number of datagrams that were dropped.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    fn window(&mut self, node: NodeId) -> &mut ReplayWindow {
        self.uses += 1;
        let found = self.windows.binary_search_by_key(&node, |held| held.node);
        let index = found.unwrap_or_else(|_| self.add_window(node));
        let held = &mut self.windows[index];
        held.used_at = self.uses;
        &mut held.window
    }

    fn add_window(&mut self, node: NodeId) -> usize {
        if self.windows.len() >= MAX_SENDERS {
            let oldest = self.windows.iter().enumerate();
            let oldest = oldest.min_by_key(|(_, held)| held.used_at);
            if let Some((index, _)) = oldest {
                self.windows.remove(index);
            }
        }
        let index = self.windows.partition_point(|held| held.node < node);
        let window = Window {
            node,
            window: ReplayWindow::default(),
            used_at: self.uses,
        };
        self.windows.insert(index, window);
        index
    }
}
