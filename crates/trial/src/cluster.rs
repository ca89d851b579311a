//! Runs a deployment inside one process: fabric, platform store, balancers, agents and upstreams.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use displaydoc::Display;
use hawthorntide_agent::{Agent, AgentError, AgentOptions};
use hawthorntide_balancer::{Balancer, BalancerError, BalancerOptions, Ingress, StoreLink};
use hawthorntide_emulator::{
    BalancerLink, Fabric, FabricOptions, ReportAccuracy, ServiceSocket, StoreServer,
    StoreServerOptions, Upstream, UpstreamOptions,
};
use hawthorntide_routing::{ConnectionIdCodec, ConnectionIdKey, KEY_BYTES, KeyRing};
use hawthorntide_store::{
    ObjectKey, ObjectKind, ObjectStore, StoreError, StoreOptions, WriteOutcome,
};
use hawthorntide_timeline::Timeline;
use hawthorntide_types::{
    DurationMs, EndpointId, FailureDomain, Incarnation, NodeId, Region, ResultCode, Service,
    ServiceId, ServiceName, Transport, Version,
};
use hawthorntide_wire::{ClusterKey, ControlCodec};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::certificate::TestAuthority;
use crate::deployment::{Deployment, ReportMode, ServiceEntry, UpstreamGroup};
use crate::process::{BalancerProcess, ControlTraffic, ProcessRuntime, UpstreamProcess};

/// Age of the load reports of a lagging upstream.
const REPORT_LAG: DurationMs = DurationMs(3000);

#[derive(Debug, Display)]
pub enum ClusterError {
    /// cannot start an emulated process: {0}
    Io(std::io::Error),
    /// cannot start an agent: {0}
    Agent(AgentError),
    /// cannot start a balancer: {0}
    Balancer(BalancerError),
    /// cannot create a certificate: {0}
    Certificate(rcgen::Error),
    /// cannot open a client of the platform store: {0}
    Store(StoreError),
    /// cannot write to the platform store: {0}
    Write(ResultCode),
    /// the process ended during startup
    Ended,
}

impl std::error::Error for ClusterError {}

/// Running deployment, with all its balancers, agents and upstreams inside this process.
#[derive(Debug)]
pub struct Cluster {
    pub deployment: Deployment,
    pub fabric: Fabric,
    pub store: StoreServer,
    /// Issues the agents' certificates.
    pub authority: TestAuthority,
    /// In the order of the deployment file, with the bound addresses.
    pub services: Vec<Service>,
    /// Includes balancers that have ended.
    pub balancers: Vec<BalancerProcess>,
    /// Includes upstreams that have ended.
    pub upstreams: Vec<UpstreamProcess>,
    shared_keys: SharedKeys,
    seed: u64,
}

/// Keys shared by all processes of the deployment.
#[derive(Clone, Debug)]
struct SharedKeys {
    control: ControlCodec,
    keys: KeyRing,
}

impl Cluster {
    /// Starts all processes of `deployment`.
    pub async fn spawn(deployment: &Deployment, seed: u64) -> Result<Self, ClusterError> {
        let shared_keys = SharedKeys {
            control: ControlCodec::new("trial", ClusterKey::new([1; 32])),
            keys: KeyRing::new(ConnectionIdKey::new(1, [2; KEY_BYTES]), None)
                .expect("a ring with one key of id 1 is valid"),
        };
        let fabric = bind_fabric(deployment, seed).await?;
        let store_options = StoreServerOptions {
            seed,
            ..StoreServerOptions::default()
        };
        let mut cluster = Self {
            services: services(deployment, &fabric),
            deployment: deployment.clone(),
            store: StoreServer::bind(loopback(), store_options).map_err(ClusterError::Io)?,
            authority: TestAuthority::new().map_err(ClusterError::Certificate)?,
            fabric,
            balancers: Vec::new(),
            upstreams: Vec::new(),
            shared_keys,
            seed,
        };
        cluster.fill_store().await?;
        for group in &deployment.balancers {
            for _ in 0..group.count {
                cluster.join_balancer(group.failure_domain.clone()).await?;
            }
        }
        for service in &deployment.services {
            for group in &service.upstreams {
                for _ in 0..group.count {
                    cluster.join_upstream(service, group).await?;
                }
            }
        }
        Ok(cluster)
    }

    /// Writes the profiles and services of the deployment file to the platform store.
    async fn fill_store(&self) -> Result<(), ClusterError> {
        let store = self.open_store()?;
        for profile in &self.deployment.profiles {
            let value = serde_json::to_value(profile).expect("a profile can be serialized");
            write_new(&store, ObjectKind::Profile, profile.name.as_str(), &value).await?;
        }
        for service in &self.services {
            let value = serde_json::to_value(service).expect("a service can be serialized");
            write_new(&store, ObjectKind::Service, service.name.as_str(), &value).await?;
        }
        Ok(())
    }

    pub(crate) fn open_store(&self) -> Result<ObjectStore, ClusterError> {
        ObjectStore::open(self.store.address(), StoreOptions::default())
            .map_err(ClusterError::Store)
    }

    /// Starts another balancer and attaches it to the fabric.
    pub async fn join_balancer(&mut self, domain: FailureDomain) -> Result<(), ClusterError> {
        let runtime = ProcessRuntime::new("balancer").map_err(ClusterError::Io)?;
        let region = self.region(&domain);
        let timeline = Timeline::for_process(format!("balancer {}", self.balancers.len() + 1));
        let options = BalancerOptions {
            failure_domain: domain.clone(),
            region,
            data_address: loopback(),
            control_address: loopback(),
            ingress: Ingress::Encapsulated {
                fabric_address: self.fabric.address(),
            },
            services: self.services.clone(),
            peers: self.balancer_addresses(),
            admin_address: None,
            control: self.shared_keys.control.clone(),
            keys: self.shared_keys.keys.clone(),
            incarnation: next_incarnation(),
            timeline: Arc::clone(&timeline),
        };
        let balancer = await_start(runtime.spawn(Balancer::spawn(options)))
            .await?
            .map_err(ClusterError::Balancer)?;
        let stop = CancellationToken::new();
        let link = StoreLink::new(
            NodeId::of_address(balancer.control_address()),
            domain,
            balancer.control(),
            Arc::new(self.open_store()?),
            stop.clone(),
        );
        runtime.spawn(link.run());
        let process = BalancerProcess {
            runtime,
            store_link: Some(stop.drop_guard()),
            data_address: balancer.data_address(),
            control_address: balancer.control_address(),
            balancer: Some(balancer),
            timeline,
            control_traffic: ControlTraffic::default(),
        };
        self.fabric.attach_balancer(BalancerLink {
            address: process.data_address,
            delay: self.balancer_delay(),
        });
        self.balancers.push(process);
        Ok(())
    }

    /// Starts another upstream of `service` with its agent.
    pub async fn join_upstream(
        &mut self,
        service: &ServiceEntry,
        group: &UpstreamGroup,
    ) -> Result<(), ClusterError> {
        let upstream = Upstream::bind(UpstreamOptions {
            service: ServiceId::of_name(&service.name),
            slots: group.slots,
            service_time_ms: group.service_time_ms,
            cold_start_ms: group.cold_start_ms,
            reports: report_accuracy(group.reports),
            seed: self.seed ^ self.upstreams.len() as u64,
            ..UpstreamOptions::default()
        })
        .await
        .map_err(ClusterError::Io)?;
        let profile = self.deployment.profile(&service.profile);
        let options = AgentOptions {
            service: service.name.clone(),
            failure_domain: group.failure_domain.clone(),
            data_address: loopback(),
            control_address: loopback(),
            upstream_address: upstream.address(),
            slots: group.slots,
            balancers: self.balancer_addresses(),
            control: self.shared_keys.control.clone(),
            keys: self.shared_keys.keys.clone(),
            tls: self
                .authority
                .issue(&service.name)
                .map_err(ClusterError::Certificate)?,
            profile: profile.expect("the deployment was validated").clone(),
            incarnation: next_incarnation(),
        };
        let runtime = ProcessRuntime::new("agent").map_err(ClusterError::Io)?;
        let agent = await_start(runtime.spawn(Agent::spawn(options)))
            .await?
            .map_err(ClusterError::Agent)?;
        self.upstreams.push(UpstreamProcess {
            runtime,
            endpoint: EndpointId::of_address(agent.data_address()),
            agent: Some(agent),
            service: service.name.clone(),
            upstream,
            drain_began: None,
            was_killed: false,
        });
        Ok(())
    }

    /// Returns one of the addresses of a service; `number` wraps around.
    pub fn service_address(&self, name: &ServiceName, number: usize) -> Option<SocketAddr> {
        let service = self.services.iter().find(|service| service.name == *name)?;
        let index = number.checked_rem(service.addresses.len())?;
        service.addresses.get(index).copied()
    }

    /// Codec that decodes endpoints from connection IDs.
    pub(crate) fn connection_id_codec(&self) -> ConnectionIdCodec {
        ConnectionIdCodec::new(self.shared_keys.keys.clone())
    }

    /// One-way delay between callers and balancers. Includes the delay between failure domains,
    /// because the sockets between balancers and agents have no emulated delay.
    fn balancer_delay(&self) -> Duration {
        let caller = Duration::from(self.deployment.caller_delay_us);
        caller + Duration::from(self.deployment.domain_delay_us)
    }

    fn balancer_addresses(&self) -> Vec<SocketAddr> {
        let serving = self.balancers.iter().filter(|b| b.is_serving());
        serving.map(|balancer| balancer.control_address).collect()
    }

    fn region(&self, domain: &FailureDomain) -> Region {
        let mut entries = self.deployment.failure_domains.iter();
        let entry = entries.find(|entry| entry.name == *domain);
        entry.expect("the deployment was validated").region.clone()
    }
}

fn report_accuracy(mode: ReportMode) -> ReportAccuracy {
    match mode {
        ReportMode::Truthful => ReportAccuracy::Truthful,
        ReportMode::Lagging => ReportAccuracy::Lagging(REPORT_LAG),
        ReportMode::AlwaysIdle => ReportAccuracy::AlwaysIdle,
        ReportMode::AlwaysFailed => ReportAccuracy::AlwaysFailed,
    }
}

async fn write_new(
    store: &ObjectStore,
    kind: ObjectKind,
    name: &str,
    value: &serde_json::Value,
) -> Result<(), ClusterError> {
    let key =
        ObjectKey::new(kind, name).expect("names of services and profiles are valid object names");
    match store.put_if(&key, value, Version::NONE).await {
        WriteOutcome::Accepted(_) => Ok(()),
        outcome => Err(ClusterError::Write(outcome.code())),
    }
}

async fn await_start<T>(task: Option<JoinHandle<T>>) -> Result<T, ClusterError> {
    let Some(task) = task else {
        return Err(ClusterError::Ended);
    };
    task.await.map_err(|_| ClusterError::Ended)
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

async fn bind_fabric(deployment: &Deployment, seed: u64) -> Result<Fabric, ClusterError> {
    let mut services = Vec::new();
    for service in &deployment.services {
        for _ in 0..service.addresses {
            services.push(ServiceSocket {
                service: ServiceId::of_name(&service.name),
                address: loopback(),
            });
        }
    }
    let options = FabricOptions {
        services,
        seed,
        ..FabricOptions::default()
    };
    Fabric::bind(options).await.map_err(ClusterError::Io)
}

fn services(deployment: &Deployment, fabric: &Fabric) -> Vec<Service> {
    let sockets = fabric.services();
    let entries = deployment.services.iter();
    entries
        .map(|service| {
            let id = ServiceId::of_name(&service.name);
            let bound = sockets.iter().filter(|socket| socket.service == id);
            Service {
                name: service.name.clone(),
                addresses: bound.map(|socket| socket.address).collect(),
                transport: Transport::Quic,
                profile: service.profile.clone(),
                team: String::new(),
            }
        })
        .collect()
}

/// Wall clock in milliseconds, increased where needed so that no two processes get the same
/// incarnation.
fn next_incarnation() -> Incarnation {
    static LAST: AtomicU64 = AtomicU64::new(0);
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let now_ms = since_epoch.unwrap_or_default().as_millis() as u64;
    let last = LAST.fetch_max(now_ms, Ordering::Relaxed);
    if now_ms > last {
        return Incarnation(now_ms);
    }
    Incarnation(LAST.fetch_add(1, Ordering::Relaxed) + 1)
}
