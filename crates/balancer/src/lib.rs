//! Balancer process: packet forwarding and control plane.

mod balancer;
mod batch;
mod codec;
mod control;
mod forward;
mod openings;
mod operations;
mod service_sockets;
mod store_link;

pub use balancer::{Balancer, BalancerError, BalancerOptions, BalancerReport, Ingress};
pub use control::{ControlHandle, MembershipView};
pub use operations::BalancerOperations;
pub use store_link::StoreLink;
