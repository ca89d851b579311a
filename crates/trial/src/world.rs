//! Running processes of a deployment: fabric, balancers, agents and upstreams.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use displaydoc::Display;
use hawthorntide_agent::{Agent, AgentError, AgentOptions};
use hawthorntide_balancer::{Balancer, BalancerError, BalancerOptions, Ingress};
use hawthorntide_emulator::{
    BalancerLink, Fabric, FabricOptions, ServiceSocket, Upstream, UpstreamOptions,
};
use hawthorntide_routing::{KEY_BYTES, KeyRing, RoutingKey};
use hawthorntide_types::{
    FailureDomain, Incarnation, PerMille, Region, Service, ServiceId, ServiceName, Transport,
};
use hawthorntide_wire::{ClusterKey, ControlCodec};

use crate::certificate::TestAuthority;
use crate::deployment::{Deployment, DeploymentService};

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
}

impl std::error::Error for WorldError {}

/// Deployment whose processes run as tasks.
#[derive(Debug)]
pub struct World {
    /// Fabric between callers and balancers.
    pub fabric: Fabric,
    /// Authority that signs the agents' certificates.
    pub authority: TestAuthority,
    /// Balancers.
    pub balancers: Vec<Balancer>,
    /// Agents with their upstreams and services.
    pub upstreams: Vec<(ServiceName, Agent, Upstream)>,
    /// Addresses that callers use, by service.
    pub service_addresses: Vec<(ServiceName, SocketAddr)>,
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
        let authority = TestAuthority::new().map_err(WorldError::Certificate)?;
        let fabric = bind_fabric(deployment, seed).await?;
        let services = services(deployment, &fabric);
        let mut balancers = Vec::new();
        for number in 0..deployment.balancers {
            let domain = domain(deployment, number);
            let balancer = spawn_balancer(&secrets, &services, domain, &fabric, &balancers).await?;
            let delay = Duration::from(deployment.caller_delay_ms);
            fabric.attach_balancer(BalancerLink {
                address: balancer.data_address(),
                delay,
            });
            balancers.push(balancer);
        }
        let known: Vec<_> = balancers.iter().map(Balancer::control_address).collect();
        let mut upstreams = Vec::new();
        for service in &deployment.services {
            for number in 0..service.endpoints {
                let domain = domain(deployment, number);
                let (agent, upstream) =
                    spawn_agent(&secrets, &authority, service, domain, &known).await?;
                upstreams.push((service.name.clone(), agent, upstream));
            }
        }
        let service_addresses = services
            .iter()
            .map(|service| (service.name.clone(), service.addresses[0]))
            .collect();
        Ok(Self {
            fabric,
            authority,
            balancers,
            upstreams,
            service_addresses,
        })
    }

    /// Stops all processes.
    pub async fn stop(self) {
        for (_, agent, _) in self.upstreams {
            agent.stop().await;
        }
        for balancer in self.balancers {
            balancer.stop().await;
        }
    }
}

async fn bind_fabric(deployment: &Deployment, seed: u64) -> Result<Fabric, WorldError> {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let services = deployment
        .services
        .iter()
        .map(|service| ServiceSocket {
            service: ServiceId::of_name(&service.name),
            address: any_port,
        })
        .collect();
    let options = FabricOptions {
        address: any_port,
        services,
        balancers: Vec::new(),
        loss_per_mille: PerMille(0),
        seed,
    };
    Fabric::bind(options).await.map_err(WorldError::Io)
}

fn services(deployment: &Deployment, fabric: &Fabric) -> Vec<Service> {
    let sockets = fabric.services();
    let mut services = Vec::new();
    for service in &deployment.services {
        let id = ServiceId::of_name(&service.name);
        let addresses = sockets
            .iter()
            .filter(|socket| socket.service == id)
            .map(|socket| socket.address);
        services.push(Service {
            name: service.name.clone(),
            addresses: addresses.collect(),
            transport: Transport::Quic,
            profile: service.profile.name.clone(),
            team: String::new(),
        });
    }
    services
}

fn domain(deployment: &Deployment, number: u32) -> FailureDomain {
    let index = number as usize % deployment.failure_domains.len();
    deployment.failure_domains[index].clone()
}

fn incarnation() -> Incarnation {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Incarnation(since.as_millis() as u64)
}

async fn spawn_balancer(
    secrets: &Secrets,
    services: &[Service],
    failure_domain: FailureDomain,
    fabric: &Fabric,
    earlier: &[Balancer],
) -> Result<Balancer, WorldError> {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let options = BalancerOptions {
        failure_domain,
        region: "local".parse::<Region>().expect("the name is valid"),
        data_address: any_port,
        control_address: any_port,
        ingress: Ingress::Encapsulated {
            fabric_address: fabric.address(),
        },
        services: services.to_vec(),
        peers: earlier.iter().map(Balancer::control_address).collect(),
        admin_address: None,
        control: secrets.control.clone(),
        keys: secrets.keys.clone(),
        incarnation: incarnation(),
    };
    Balancer::spawn(options).await.map_err(WorldError::Balancer)
}

async fn spawn_agent(
    secrets: &Secrets,
    authority: &TestAuthority,
    service: &DeploymentService,
    failure_domain: FailureDomain,
    balancers: &[SocketAddr],
) -> Result<(Agent, Upstream), WorldError> {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let upstream = Upstream::bind(UpstreamOptions {
        service: ServiceId::of_name(&service.name),
        slots: service.slots,
        service_time_ms: service.service_time_ms,
        ..UpstreamOptions::default()
    })
    .await
    .map_err(WorldError::Io)?;
    let options = AgentOptions {
        service: service.name.clone(),
        failure_domain,
        data_address: any_port,
        control_address: any_port,
        upstream_address: upstream.address(),
        slots: service.slots,
        balancers: balancers.to_vec(),
        control: secrets.control.clone(),
        keys: secrets.keys.clone(),
        tls: authority
            .issue(&service.name)
            .map_err(WorldError::Certificate)?,
        profile: service.profile.clone(),
        incarnation: incarnation(),
    };
    let agent = Agent::spawn(options).await.map_err(WorldError::Agent)?;
    Ok((agent, upstream))
}
