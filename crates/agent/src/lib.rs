//! Agent: the process next to each upstream that terminates QUIC and admits requests.

mod agent;
mod call;
mod connection;
mod connection_id;
mod control;
mod dispatcher;
mod peers;
mod session;
mod socket;
mod tls;
mod upstream;

pub use agent::{Agent, AgentError, AgentOptions, AgentTls, DrainReport};
