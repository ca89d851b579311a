//! Stand-ins for the platform, endpoints and requesters of the review, and helpers to start the
//! processes under test. They use the standard library only.

pub mod busy;
pub mod deployment;
pub mod http;
pub mod json;
pub mod openings;
pub mod packet;
pub mod process;
pub mod record;
pub mod router;
pub mod store;
