//! Runs a deployment in one process on loopback and reports what held.
