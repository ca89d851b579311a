//! Balancer process: packet path and control plane.

mod balancer;
mod batch;
mod control;
mod forward;
mod openings;

pub use balancer::{Balancer, BalancerError, BalancerOptions, BalancerReport, Ingress};
pub use control::{ControlHandle, MembershipView};
