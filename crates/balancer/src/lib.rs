//! Balancer process: packet path and control plane.
