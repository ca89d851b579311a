//! Runs a deployment in one process on loopback and reports what held.

mod certificate;
mod deployment;
mod world;

pub use certificate::TestAuthority;
pub use deployment::{Deployment, DeploymentService};
pub use world::{World, WorldError};
