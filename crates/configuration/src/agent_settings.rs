//! Settings of an agent.

use std::net::SocketAddr;
use std::path::Path;

use hawthorntide_types::{DurationMs, FailureDomain, ServiceName, SlotCount};

use crate::balancer_settings::{
    ClusterName, DEFAULT_WORKERS, MAX_DRAIN_MS, MAX_KNOWN_PEERS, MAX_WORKERS, NAME,
};
use crate::key_file::{KeyFiles, TlsFiles};
use crate::section::Section;
use crate::settings::{LogSettings, read_log};

/// Most slots of one upstream.
const MAX_SLOTS: u32 = 65_536;

/// Settings of an agent.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// Deployment to which the process belongs.
    pub cluster: String,
    /// Failure domain of the VM.
    pub failure_domain: FailureDomain,
    /// Service that the upstream serves.
    pub service: ServiceName,
    /// Address for forwarded packets.
    pub data_address: SocketAddr,
    /// Address for control messages.
    pub control_address: SocketAddr,
    /// Address of the upstream.
    pub upstream_address: SocketAddr,
    /// Slots of the upstream.
    pub slots: SlotCount,
    /// Control addresses of balancers that are asked first.
    pub known_balancers: Vec<SocketAddr>,
    /// Files with the keys of the deployment.
    pub key_files: KeyFiles,
    /// Files with the certificate and private key towards callers.
    pub tls_files: TlsFiles,
    /// Worker threads.
    pub worker_count: usize,
    /// Settings of the log.
    pub log: LogSettings,
    /// Longest drain of the process.
    pub drain_limit_ms: DurationMs,
}

impl AgentSettings {
    pub(crate) fn read(root: &Section<'_>, file: &Path) -> Option<Self> {
        let cluster = root.text::<ClusterName>("cluster", NAME);
        let failure_domain = root.text("failure_domain", NAME);
        let service = root.text("service", NAME);
        let data_address = root.address("data_address");
        let control_address = root.address("control_address");
        let upstream_address = root.address("upstream_address");
        let slots = root.number("slots", 1..=MAX_SLOTS);
        let known_balancers = root.addresses("known_balancers", 1..=MAX_KNOWN_PEERS);
        let key_files = KeyFiles::read(root, file);
        let tls_files = TlsFiles::read(root, file);
        let worker_count = root.optional_number("worker_count", 1..=MAX_WORKERS);
        let log = read_log(root);
        let drain_limit_ms = root.number("drain_limit_ms", 1..=MAX_DRAIN_MS);
        if data_address.is_some() && data_address == control_address {
            root.contradict("control_address", "must differ from data_address");
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
