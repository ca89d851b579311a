//! State machines that route opaque flows whose connection state only the upstream keeps.
//!
//! Packets of such flows name no endpoint. Balancers cache which agent owns a flow, and agents track
//! the flows of their upstream, but both can lose this state: a packet of an unknown flow is
//! delivered to one upstream after the other, and each upstream returns the packets of flows that it
//! does not have.

mod agent;
mod balancer;
mod class;
mod cold_start;
mod departure;
mod evacuation;
mod flow_table;
mod gossip;
mod message;
mod opening;
mod peer;
mod pending;
mod placement;
mod record;
mod registrar;
mod requests;
mod route;
mod segment;
mod upstream;
mod view;

pub use agent::{AgentAction, AgentEvent, AgentMachine, AgentOptions};
pub use balancer::{BalancerDecision, BalancerMachine, ConfigurationTask, QueryPart, QueryResult};
pub use class::RequestClass;
pub use cold_start::{ColdStartLimit, ColdStartTolerance};
pub use departure::UpstreamDeregistration;
pub use evacuation::{Evacuations, MAX_EVACUATED_DOMAINS};
pub use gossip::{GOSSIP_INTERVAL_MS, GossipAction, GossipEvent, GossipMachine};
pub use message::{
    Gossip, MessageError, OpeningTerms, PeerMessage, PeerUpdate, ReplyKind, Search, decode, encode,
};
pub use opening::{HandOff, OpeningDecision, OpeningPolicy, OpeningState, VisitedAgent};
pub use peer::{AgentStatus, BalancerStatus, Peer, PeerRole};
pub use placement::DomainTag;
pub use record::{FlowRecord, MAX_RECORDED_FLOWS, RecordedFlow, UpstreamIncarnation};
pub use route::{Backend, ColdStart, Configuration, Route, RouteTable};
pub use segment::{Segment, SegmentKind};
pub use upstream::UpstreamReport;
pub use view::{PeerView, UNREACHABLE_AFTER_MS};
