//! Running processes of a deployment: fabric, platform store, balancers, agents and upstreams.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use displaydoc::Display;
use hawthorntide_agent::{Agent, AgentError, AgentOptions};
use hawthorntide_balancer::{Balancer, BalancerError, BalancerOptions, Ingress, StoreLink};
use hawthorntide_emulator::{
    BalancerLink, Fabric, FabricOptions, Reports, ServiceSocket, StoreServer, StoreServerOptions,
    Upstream, UpstreamOptions,
};
use hawthorntide_routing::{ConnectionIdCodec, KEY_BYTES, KeyRing, RoutingKey};
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

/// Age of the reports of a lagging upstream.
const REPORT_LAG: DurationMs = DurationMs(3000);

/// Failure to start a deployment.
#[derive(Debug, Display)]
pub enum WorldError {
    /// cannot bind a socket of the emulation: {0}
    Io(std::io::Error),
    /// cannot start an agent: {0}
    Agent(AgentError),
    /// cannot start a balancer: {0}
    Balancer(BalancerError),
    /// cannot make a certificate: {0}
    Certificate(rcgen::Error),
    /// cannot reach the platform store: {0}
    Store(StoreError),
    /// cannot fill the platform store: {0}
    Write(ResultCode),
    /// the process ended while it started
    Ended,
}

impl std::error::Error for WorldError {}

/// Deployment whose processes run as tasks.
#[derive(Debug)]
pub struct World {
    /// Deployment file.
    pub deployment: Deployment,
    /// Fabric between callers and balancers.
    pub fabric: Fabric,
    /// Platform store.
    pub store: StoreServer,
    /// Authority that signs the agents' certificates.
    pub authority: TestAuthority,
    /// Services in the order of the deployment file, with their bound addresses.
    pub services: Vec<Service>,
    /// Balancers, with those that ended.
    pub balancers: Vec<BalancerProcess>,
    /// Upstreams, with those that ended.
    pub upstreams: Vec<UpstreamProcess>,
    secrets: Secrets,
    seed: u64,
}

/// What every process of the deployment shares.
#[derive(Clone, Debug)]
struct Secrets {
    control: ControlCodec,
    keys: KeyRing,
}

impl World {
    /// Starts all processes of `deployment`.
    pub async fn spawn(deployment: &Deployment, seed: u64) -> Result<Self, WorldError> {
        let secrets = Secrets {
            control: ControlCodec::new("trial", ClusterKey::new([1; 32])),
            keys: KeyRing::new(RoutingKey::new(1, [2; KEY_BYTES]), None)
                .expect("one key with id 1 is a valid ring"),
        };
        let fabric = bind_fabric(deployment, seed).await?;
        let store_options = StoreServerOptions {
            seed,
            ..StoreServerOptions::default()
        };
        let mut world = Self {
            services: services(deployment, &fabric),
            deployment: deployment.clone(),
            store: StoreServer::bind(loopback(), store_options).map_err(WorldError::Io)?,
            authority: TestAuthority::new().map_err(WorldError::Certificate)?,
            fabric,
            balancers: Vec::new(),
            upstreams: Vec::new(),
            secrets,
            seed,
        };
        world.fill_store().await?;
        for group in &deployment.balancers {
            for _ in 0..group.count {
                world.join_balancer(group.failure_domain.clone()).await?;
            }
        }
        for service in &deployment.services {
            for group in &service.upstreams {
                for _ in 0..group.count {
                    world.join_upstream(service, group).await?;
                }
            }
        }
        Ok(world)
    }

    /// Writes the profiles and services that operators defined before the trial.
    async fn fill_store(&self) -> Result<(), WorldError> {
        let store = self.open_store()?;
        for profile in &self.deployment.profiles {
            let value = serde_json::to_value(profile).expect("a profile is JSON");
            write_new(&store, ObjectKind::Profile, profile.name.as_str(), &value).await?;
        }
        for service in &self.services {
            let value = serde_json::to_value(service).expect("a service is JSON");
            write_new(&store, ObjectKind::Service, service.name.as_str(), &value).await?;
        }
        Ok(())
    }

    /// Opens a client of the platform store.
    pub(crate) fn open_store(&self) -> Result<ObjectStore, WorldError> {
        ObjectStore::open(self.store.address(), StoreOptions::default()).map_err(WorldError::Store)
    }

    /// Starts one more balancer and lets the fabric use it.
    pub async fn join_balancer(&mut self, domain: FailureDomain) -> Result<(), WorldError> {
        let runtime = ProcessRuntime::new("balancer").map_err(WorldError::Io)?;
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
            control: self.secrets.control.clone(),
            keys: self.secrets.keys.clone(),
            incarnation: next_incarnation(),
            timeline: Arc::clone(&timeline),
        };
        let balancer = started(runtime.spawn(Balancer::spawn(options)))
            .await?
            .map_err(WorldError::Balancer)?;
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
            delay: self.delay(),
        });
        self.balancers.push(process);
        Ok(())
    }

    /// Starts one more upstream of `service` with its agent.
    pub async fn join_upstream(
        &mut self,
        service: &ServiceEntry,
        group: &UpstreamGroup,
    ) -> Result<(), WorldError> {
        let upstream = Upstream::bind(UpstreamOptions {
            service: ServiceId::of_name(&service.name),
            slots: group.slots,
            service_time_ms: group.service_time_ms,
            cold_start_ms: group.cold_start_ms,
            reports: reports(group.reports),
            seed: self.seed ^ self.upstreams.len() as u64,
            ..UpstreamOptions::default()
        })
        .await
        .map_err(WorldError::Io)?;
        let profile = self.deployment.profile(&service.profile);
        let options = AgentOptions {
            service: service.name.clone(),
            failure_domain: group.failure_domain.clone(),
            data_address: loopback(),
            control_address: loopback(),
            upstream_address: upstream.address(),
            slots: group.slots,
            balancers: self.balancer_addresses(),
            control: self.secrets.control.clone(),
            keys: self.secrets.keys.clone(),
            tls: self
                .authority
                .issue(&service.name)
                .map_err(WorldError::Certificate)?,
            profile: profile.expect("the deployment was checked").clone(),
            incarnation: next_incarnation(),
        };
        let runtime = ProcessRuntime::new("agent").map_err(WorldError::Io)?;
        let agent = started(runtime.spawn(Agent::spawn(options)))
            .await?
            .map_err(WorldError::Agent)?;
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

    /// Returns an address at which callers reach the service called `name`.
    pub fn service_address(&self, name: &ServiceName, number: usize) -> Option<SocketAddr> {
        let service = self.services.iter().find(|service| service.name == *name)?;
        let index = number.checked_rem(service.addresses.len())?;
        service.addresses.get(index).copied()
    }

    /// Returns the codec that reads endpoints from connection identifiers.
    pub(crate) fn connection_id_codec(&self) -> ConnectionIdCodec {
        ConnectionIdCodec::new(self.secrets.keys.clone())
    }

    /// Returns the one-way delay between callers and balancers; the way on to another failure
    /// domain is included, because the sockets between balancers and agents have no delay.
    fn delay(&self) -> Duration {
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
        entry.expect("the deployment was checked").region.clone()
    }
}

fn reports(mode: ReportMode) -> Reports {
    match mode {
        ReportMode::Truthful => Reports::Truthful,
        ReportMode::Lagging => Reports::Lagging(REPORT_LAG),
        ReportMode::AlwaysIdle => Reports::AlwaysIdle,
        ReportMode::AlwaysFailed => Reports::AlwaysFailed,
    }
}

async fn write_new(
    store: &ObjectStore,
    kind: ObjectKind,
    name: &str,
    value: &serde_json::Value,
) -> Result<(), WorldError> {
    let key = ObjectKey::new(kind, name).expect("names of services and profiles name objects");
    match store.put_if(&key, value, Version::NONE).await {
        WriteOutcome::Accepted(_) => Ok(()),
        outcome => Err(WorldError::Write(outcome.code())),
    }
}

async fn started<T>(task: Option<JoinHandle<T>>) -> Result<T, WorldError> {
    let Some(task) = task else {
        return Err(WorldError::Ended);
    };
    task.await.map_err(|_| WorldError::Ended)
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

async fn bind_fabric(deployment: &Deployment, seed: u64) -> Result<Fabric, WorldError> {
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
    Fabric::bind(options).await.map_err(WorldError::Io)
}

fn services(deployment: &Deployment, fabric: &Fabric) -> Vec<Service> {
    let sockets = fabric.services();
    let entries = deployment.services.iter();
    entries
        .map(|service| {
            let id = ServiceId::of_name(&service.name);
            let own = sockets.iter().filter(|socket| socket.service == id);
            Service {
                name: service.name.clone(),
                addresses: own.map(|socket| socket.address).collect(),
                transport: Transport::Quic,
                profile: service.profile.clone(),
                team: String::new(),
            }
        })
        .collect()
}

/// Returns the wall clock, or more when two processes start in the same millisecond.
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
