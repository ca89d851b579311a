//! Membership state machines: announcements, gossip, failure detection.

mod announce;
mod clock;
mod confirm;
mod fetch;
mod floor;
mod gate;
mod gossip;
mod homes;
mod member;
mod pack;
mod probe;
mod rendezvous;
mod service_index;
mod sync;
mod updates;
mod view;

pub use announce::{AgentIdentity, AnnounceAction, AnnounceEvent, AnnounceMachine};
pub use gate::{ControlGate, Dropped};
pub use gossip::{
    Alarm, BalancerIdentity, ConfirmReport, GossipAction, GossipCounters, GossipEvent,
    GossipMachine, LocalChange, Sender,
};
pub use member::{BalancerMember, Endpoint, HOMES, Health, Member, Stamp, node_tag};
