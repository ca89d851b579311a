//! Runs a whole deployment in one process over loopback, injects events and reports broken
//! promises.

mod callers;
mod certificate;
mod cluster;
mod deployment;
mod event;
mod measure;
mod observer;
mod operator;
mod plots;
mod process;
mod report;
mod runner;
mod series;

pub use certificate::TestAuthority;
pub use cluster::{Cluster, ClusterError};
pub use deployment::{
    BalancerGroup, CallerMix, DelayUs, Deployment, DeploymentProblem, DomainEntry, ReportMode,
    ServiceEntry, UpstreamGroup,
};
pub use event::{EventName, ParseEventError, TrialEvent};
pub use plots::PlotError;
pub use process::{BalancerProcess, UpstreamProcess};
pub use report::{Promise, TrialReport};
pub use runner::{TrialError, TrialOptions, TrialOutcome, run};
