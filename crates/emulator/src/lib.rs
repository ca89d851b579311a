//! Stand-ins for the platform, the fabric, upstreams and callers.

mod store;

pub use store::{CallCounts, StoreFaults, StoreHandle, StoreServer, StoreServerOptions};
