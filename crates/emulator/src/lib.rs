//! Emulators of the platform store, the fabric and upstreams, with injectable faults.

mod fabric;
mod link;
mod store;
mod upstream;
mod work;

pub use fabric::{BalancerLink, Fabric, FabricCounts, FabricOptions, ServiceSocket};
pub use link::UpstreamFault;
pub use store::{
    CallCounts, EraHeader, StoreCopy, StoreFaults, StoreHandle, StoreServer, StoreServerOptions,
};
pub use upstream::{ReportAccuracy, RunRecord, Upstream, UpstreamCounts, UpstreamOptions};
pub use work::{STREAM_MESSAGE_BYTES, WorkOrder};
