//! Forwarding decisions: connection identifiers, routing and slot tables, the rate limiter of
//! opening packets, and the search for the agent that holds an opaque UDP flow.

mod connection_id;
mod flow_locator;
mod id_map;
mod key;
mod opening_limiter;
mod packet;
mod relay_header;
mod slots;
mod table;

pub use connection_id::{CONNECTION_ID_BYTES, ConnectionIdCodec, DecodedConnectionId};
pub use flow_locator::{FLOW_IDLE_MS, FlowKey, FlowLocator, OpaqueArrival, OpaqueDecision};
pub use hawthorntide_wire::ForwardKind;
pub use key::{ConnectionIdKey, KEY_BYTES, KeyRing, KeyRingError};
pub use opening_limiter::OpeningRateLimiter;
pub use packet::{PacketClass, classify};
pub use relay_header::{MAX_HOPS, MAX_RELAY_HEADER_BYTES, RelayEntry, RelayHeader, RelayPurpose};
pub use slots::TABLE_SLOTS;
pub use table::{EndpointRoute, REMOVED_ENDPOINT_RETENTION_MS, Route, RoutingTable};
