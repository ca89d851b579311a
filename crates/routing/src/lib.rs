//! Routing decisions of the balancer: connection identifiers, slot tables, relays.

mod connection_id;
mod id_map;
mod key;
mod packet;
mod slots;
mod table;

pub use connection_id::{CONNECTION_ID_BYTES, ConnectionIdCodec, ConnectionToken};
pub use hawthorntide_wire::ForwardKind;
pub use key::{KEY_BYTES, KeyRing, KeyRingError, RoutingKey};
pub use packet::{PacketClass, classify};
pub use slots::TABLE_SLOTS;
pub use table::{EndpointRoute, FORWARD_GONE_MS, Route, RoutingTable};
