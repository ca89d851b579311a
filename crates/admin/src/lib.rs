//! Administration API of a balancer.
