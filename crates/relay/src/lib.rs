//! Edges of balancers and agents for opaque flows: sockets, timers and calls of the store.

mod agent;
mod backoff;
mod balancer;
mod configuration;
mod directory;
mod exchange;
mod metric;
mod peers;
mod record;
mod sockets;

pub use agent::{RelayAgent, RelayAgentOptions};
pub use balancer::{RelayBalancer, RelayBalancerOptions};
pub use peers::ProcessOptions;
pub use sockets::StartError;
