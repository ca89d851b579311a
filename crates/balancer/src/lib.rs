//! Balancer process: packet path and control plane.

mod balancer;
mod control;
mod forward;
mod watcher;

pub use balancer::{Balancer, BalancerError, BalancerOptions, BalancerReport, Ingress};
pub use control::{ControlHandle, MembershipView};
