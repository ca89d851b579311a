//! Decisions for opaque flows whose upstream keeps the connection.
//!
//! Packets of such flows name no endpoint, and neither balancers nor agents hold anything that a
//! flow could not do without: the upstream alone knows its flows. Balancers and agents remember
//! where flows were seen, and find a forgotten flow by offering its packets to one upstream after
//! the other, each of which returns what it does not hold.

mod agent;
mod balancer;
mod flow_table;
mod gossip;
mod message;
mod peer;
mod pending;
mod placement;
mod record;
mod route;
mod segment;
mod upstream;
mod view;

pub use agent::{AgentAction, AgentEvent, AgentMachine, AgentOptions};
pub use balancer::{BalancerDecision, BalancerMachine, ConfigurationTask};
pub use gossip::{GOSSIP_INTERVAL_MS, GossipAction, GossipEvent, GossipMachine};
pub use message::{Gossip, MessageError, PeerMessage, Search, ToldPeer, Wanted, decode, encode};
pub use peer::{AgentStatus, BalancerStatus, Peer, PeerRole};
pub use placement::DomainTag;
pub use record::{FlowRecord, MAX_RECORDED_FLOWS, RecordedFlow, UpstreamIncarnation};
pub use route::{Backend, Configuration, Route, RouteTable};
pub use segment::{Segment, SegmentKind};
pub use upstream::UpstreamReport;
pub use view::{PeerView, UNREACHABLE_AFTER_MS};
