//! Balancer and agent processes for opaque flows.
//!
//! They connect the state machines of `hawthorntide-opaque` to sockets, timers, the platform store and
//! HTTP.

mod agent;
mod backoff;
mod balancer;
mod configuration;
mod directory;
mod evacuation;
mod exchange;
mod metric;
mod process;
mod record;
mod sockets;

pub use agent::{RelayAgent, RelayAgentOptions};
pub use balancer::{RelayBalancer, RelayBalancerOptions};
pub use process::ProcessOptions;
pub use sockets::StartError;
