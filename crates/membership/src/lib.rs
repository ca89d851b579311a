//! Cluster membership: gossip, SWIM-style failure detection, anti-entropy and heartbeats of agents.
//!
//! The state machines do no I/O: they take events with the current time and return actions.

mod announce;
mod anti_entropy;
mod clock;
mod confirm;
mod control_channel;
mod fetch;
mod gossip;
mod homes;
mod member;
mod pack;
mod probe;
mod removal_threshold;
mod rendezvous;
mod service_index;
mod updates;
mod view;

pub use announce::{AgentIdentity, AnnounceAction, AnnounceEvent, AnnounceMachine};
pub use control_channel::{ControlChannel, DroppedDatagram};
pub use gossip::{
    Alarm, BalancerIdentity, ConfirmReport, GossipAction, GossipCounters, GossipEvent,
    GossipMachine, LocalChange, Sender,
};
pub use member::{BalancerMember, Endpoint, HOMES_PER_AGENT, Health, Member, Stamp, node_tag};
