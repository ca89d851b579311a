//! Runs a deployment in one process on loopback and reports what held.

mod deployment;
mod event;
mod report;

pub use deployment::{
    BalancerGroup, CallerMix, DelayUs, Deployment, DeploymentProblem, DomainEntry, ServiceEntry,
    UpstreamGroup,
};
pub use event::{EventName, ParseEventError, TrialEvent};
pub use report::{Promise, TrialReport};
