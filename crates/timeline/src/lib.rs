//! Timeline of events across processes, ordered by hybrid logical clocks.

mod clock;
mod event;
mod filter;
mod lines;
mod page;
mod ring;

pub use clock::{HybridClock, HybridTime};
pub use event::{Component, Event, EventKind, FlowKey, ProcessName, RequestKey, TimedEvent};
pub use filter::Filter;
pub use lines::{LineError, read_lines, write_lines};
pub use page::render_page;
pub use ring::{Timeline, merge};
