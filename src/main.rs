//! Layer-4 load balancer: every process between callers and upstreams in one binary.

fn main() {}
