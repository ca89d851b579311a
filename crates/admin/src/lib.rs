//! HTTP administration API of a balancer.

mod access;
mod body;
mod limits;
mod log_level;
mod metric;
mod operations;
mod process;
mod profiles;
mod request;
mod response;
mod routes;
mod server;
mod services;
mod writes;

pub use body::{
    AcceptedBody, ConfirmationBody, ErrorBody, FieldProblem, LogLevelBody, OpenBody, PhaseBody,
    ProfileChoice, TimelineBody, VersionedProfile, VersionedService,
};
pub use limits::AdminLimits;
pub use log_level::{log_level, set_log_level};
pub use metric::{install_metrics, render_metrics};
pub use operations::{
    BalancerStatus, Change, Confirmation, Operations, OperationsFuture, StatusReport,
    UpstreamStatus, VersionInForce,
};
pub use routes::{Method, Operation, ROUTES, Route};
pub use server::{AdminOptions, AdminServer};
