//! Tests that a flow record stays below the size limit of objects in the platform store.

use std::net::SocketAddr;

use googletest::prelude::*;
use hawthorntide_opaque::{FlowRecord, MAX_RECORDED_FLOWS, RecordedFlow, UpstreamIncarnation};
use hawthorntide_routing::FlowKey;
use hawthorntide_store::MAX_VALUE_BYTES;

#[gtest]
fn largest_record_fits_into_an_object() {
    let longest = SocketAddr::from(([255, 255, 255, 255], u16::MAX));
    let flow = RecordedFlow {
        flow: FlowKey {
            caller: longest,
            service_address: longest,
        },
        acknowledged: u32::MAX,
    };
    let record = FlowRecord {
        incarnation: UpstreamIncarnation {
            id: "i".repeat(64),
            born_ms: u64::MAX,
        },
        is_draining: true,
        flows: vec![flow; MAX_RECORDED_FLOWS],
    };
    // The store embeds the value as a JSON string in its own JSON.
    let value = serde_json::to_string(&record).unwrap();
    let stored = serde_json::to_string(&value).unwrap();
    expect_that!(stored.len(), le(MAX_VALUE_BYTES));
}
