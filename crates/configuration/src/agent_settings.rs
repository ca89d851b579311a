//! Settings of an agent for QUIC flows.

use std::net::SocketAddr;
use std::path::Path;

use hawthorntide_types::{DurationMs, FailureDomain, ServiceName, SlotCount};

use crate::balancer_settings::{
    CheckedName, DEFAULT_WORKERS, MAX_DRAIN_MS, MAX_KNOWN_PEERS, MAX_WORKERS, NAME_RULE,
};
use crate::key_file::{KeyFiles, TlsFiles};
use crate::section::Section;
use crate::settings::{LogSettings, read_log};

const MAX_SLOTS: u32 = 65_536;

/// Settings of an agent for QUIC flows.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// Deployment to which the process belongs; control messages of others are refused.
    pub cluster: String,
    pub failure_domain: FailureDomain,
    pub service: ServiceName,
    /// UDP address for packets that balancers forward.
    pub data_address: SocketAddr,
    /// UDP address for control messages.
    pub control_address: SocketAddr,
    pub upstream_address: SocketAddr,
    /// Requests that the upstream runs concurrently.
    pub slots: SlotCount,
    /// Control addresses of the balancers that the agent contacts to join; it learns others from them.
    pub known_balancers: Vec<SocketAddr>,
    pub key_files: KeyFiles,
    /// Certificate and private key that the agent presents to callers.
    pub tls_files: TlsFiles,
    pub worker_count: usize,
    pub log: LogSettings,
    /// Longest time that the process drains before it ends.
    pub drain_limit_ms: DurationMs,
}

impl AgentSettings {
    pub(crate) fn read(root: &Section<'_>, file: &Path) -> Option<Self> {
        let cluster = root.text::<CheckedName>("cluster", NAME_RULE);
        let failure_domain = root.text("failure_domain", NAME_RULE);
        let service = root.text("service", NAME_RULE);
        let data_address = root.address("data_address");
        let control_address = root.address("control_address");
        let upstream_address = root.address("upstream_address");
        let slots = root.number("slots", 1..=MAX_SLOTS);
        let known_balancers = root.address_list("known_balancers", 1..=MAX_KNOWN_PEERS);
        let key_files = KeyFiles::read(root, file);
        let tls_files = TlsFiles::read(root, file);
        let worker_count = root.optional_number("worker_count", 1..=MAX_WORKERS);
        let log = read_log(root);
        let drain_limit_ms = root.number("drain_limit_ms", 1..=MAX_DRAIN_MS);
        if data_address.is_some() && data_address == control_address {
            root.report("control_address", "must differ from data_address");
        }
        Some(Self {
            cluster: cluster?.0,
            failure_domain: failure_domain?,
            service: service?,
            data_address: data_address?,
            control_address: control_address?,
            upstream_address: upstream_address?,
            slots: SlotCount(slots?),
            known_balancers,
            key_files: key_files?,
            tls_files: tls_files?,
            worker_count: worker_count.unwrap_or(DEFAULT_WORKERS),
            log,
            drain_limit_ms: DurationMs(drain_limit_ms?),
        })
    }
}
