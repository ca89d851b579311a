//! Admission control at the agent: queueing for slots, load shedding, at-most-once execution,
//! retry budgets, health of the upstream and load balancing between siblings.

mod crowding;
mod flow_limiter;
mod hash;
mod health;
mod ledger;
mod machine;
mod queue;
mod retry;
mod service_time;
mod shares;
mod sibling;
mod slot_scheduler;
mod window;

pub use health::{AnnouncedWeight, CallResult, HealthHint, UpstreamHealth};
pub use ledger::{Disposition, FenceResult, Ledger, LedgerLimits, OpenError, Outcome};
pub use machine::{
    AdmissionAction, AdmissionEvent, AdmissionLoad, AdmissionMachine, Completion, RequestId,
};
pub use retry::{DEFAULT_RETRY_BUDGET, RetryAttempt, RetryBudget};
pub use sibling::{EndpointLoad, FlowDecision, SiblingSelector};
pub use slot_scheduler::{ExpectedWait, SlotAction, SlotEvent, SlotRequest, SlotScheduler};
