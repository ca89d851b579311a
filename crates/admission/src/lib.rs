//! Admission decisions at the agent: slots, queues, at-most-once, retries.

mod crowding;
mod estimate;
mod flows;
mod hash;
mod ledger;
mod machine;
mod queue;
mod shares;
mod window;

pub use ledger::{Begin, Fence, Ledger, LedgerLimits, OpenRefused, Outcome};
pub use machine::{
    AdmissionAction, AdmissionEvent, AdmissionLoad, AdmissionMachine, Completion, RequestId,
};
