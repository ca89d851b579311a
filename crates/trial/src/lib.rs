//! Runs a deployment in one process on loopback and reports what held.

mod certificate;
mod deployment;
mod event;
mod process;
mod report;
mod world;

pub use certificate::TestAuthority;
pub use deployment::{
    BalancerGroup, CallerMix, DelayUs, Deployment, DeploymentProblem, DomainEntry, ServiceEntry,
    UpstreamGroup,
};
pub use event::{EventName, ParseEventError, TrialEvent};
pub use process::{BalancerProcess, UpstreamProcess};
pub use report::{Promise, TrialReport};
pub use world::{World, WorldError};
