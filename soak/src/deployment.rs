//! Starts the processes under test and the simulated platform of a run.

use std::collections::VecDeque;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use hawthorntide_standins::{
    ProxyMode, RouteSpec, Router, Store, StoreCopy, TcpProxy, Upstream, UpstreamOptions,
};
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::cli::Cli;
use crate::process::Process;
use crate::record::RunRecord;

// Ports, the same on each address of a run.
const DATA_PORT: u16 = 21_172;
const READY_PORT: u16 = 21_167;
const HEARTBEAT_PORT: u16 = 21_166;
const OUTPUT_PORT: u16 = 21_162;
const UPSTREAM_PORT: u16 = 21_165;
const PEER_PORT: u16 = 21_720;
const STORE_PORT: u16 = 21_169;

// Second octet of the loopback addresses of a run. Each run uses one value, so that parallel runs do
// not collide.
const FIRST_NETWORK: u8 = 100;
const NETWORKS: u32 = 100;

// Third octet of the loopback addresses of a run, by role.
const BALANCER_SUBNET: u8 = 1;
const AGENT_SUBNET: u8 = 2;
const CALLER_SUBNET: u8 = 3;
const STORE_SUBNET: u8 = 4;

/// The fourth octet of the proxy between a balancer and the store is the number of the balancer plus this.
const FIRST_STORE_PROXY: u8 = 10;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// An upstream may receive new flows for this long after the agent acknowledged its drain.
const DRAIN_LIMIT: Duration = Duration::from_secs(3);

const SERVICE_TIME: Duration = Duration::from_millis(20);

/// Limit for binding an address that the previous incarnation of an upstream still holds.
const BIND_TIMEOUT: Duration = Duration::from_secs(2);

/// Number of the service of the extra route.
pub(crate) const EXTRA_SERVICE: u8 = 1;

/// Copies of the store that are kept, one a second.
pub(crate) const MAX_COPIES: usize = 10;

/// Number of failure domains.
pub(crate) const FAILURE_DOMAINS: u8 = 3;

/// Pause between two attempts to bind an address.
const BIND_PAUSE: Duration = Duration::from_millis(10);

/// Agent and upstream on one VM.
#[derive(Debug)]
pub(crate) struct AgentVm {
    pub(crate) process: Process,
    pub(crate) upstream: Option<Upstream>,
    /// Number of the failure domain.
    pub(crate) domain: u8,
    options: UpstreamOptions,
    incarnations: u32,
}

/// Processes and simulated components of a run; they stop when the deployment is dropped.
#[derive(Debug)]
pub(crate) struct Deployment {
    pub(crate) balancers: Vec<Process>,
    pub(crate) agents: Vec<AgentVm>,
    /// Connections of the balancers to the platform store, one proxy each.
    balancer_store_proxies: Vec<TcpProxy>,
    agent_store_proxy: TcpProxy,
    pub(crate) router: Arc<Router>,
    pub(crate) version: u64,
    routes: Vec<RouteSpec>,
    store: Store,
    /// Latest one last.
    copies: VecDeque<StoreCopy>,
    /// Writes of another program into the kinds of the system.
    foreign_writes: u64,
    network: u8,
    binary: PathBuf,
    directory: PathBuf,
    /// All agents serve a service that no caller uses.
    has_broken_service: bool,
}

impl Deployment {
    /// Starts all processes and writes the first configuration.
    pub(crate) async fn spawn(cli: &Cli, directory: &Path) -> anyhow::Result<Self> {
        let binary = binary(cli)?;
        let (network, store_address, store) = bind_store().await?;
        let agent_proxy_address = agent_store_address(network);
        let agent_store_proxy = TcpProxy::bind(agent_proxy_address, store_address).await?;
        let mut balancer_store_proxies = Vec::new();
        let mut balancers = Vec::new();
        let mut targets = Vec::new();
        for number in 1..=cli.balancers {
            let proxy_address = balancer_store_address(network, number);
            balancer_store_proxies.push(TcpProxy::bind(proxy_address, store_address).await?);
            let mut settings = balancer_settings(network, number);
            settings["evacuations"] = json!(!cli.ignored_evacuations);
            let name = format!("balancer-{number}");
            balancers.push(Process::spawn(
                &binary, directory, "balancer", &name, &settings,
            )?);
            targets.push(router_target(network, number));
        }
        let mut deployment = Self {
            balancers,
            agents: Vec::new(),
            balancer_store_proxies,
            agent_store_proxy,
            router: Arc::new(Router::spawn(targets)),
            version: 0,
            routes: Vec::new(),
            store,
            copies: VecDeque::new(),
            foreign_writes: 0,
            network,
            binary,
            directory: directory.to_owned(),
            has_broken_service: cli.broken_service,
        };
        for _ in 0..cli.agents {
            deployment.add_agent().await?;
        }
        deployment.configure(false);
        Ok(deployment)
    }

    /// Starts another agent and its upstream.
    pub(crate) async fn add_agent(&mut self) -> anyhow::Result<()> {
        let number = u8::try_from(self.agents.len() + 1)?;
        let service = if self.has_broken_service {
            service_name(0)
        } else {
            service_of(number)
        };
        let settings = agent_settings(self.network, number, &service);
        let name = format!("agent-{number}");
        let process = Process::spawn(&self.binary, &self.directory, "agent", &name, &settings)?;
        let mut vm = AgentVm {
            process,
            upstream: None,
            domain: agent_domain(number),
            options: upstream_options(self.network, number, service),
            incarnations: 0,
        };
        vm.start_upstream().await?;
        self.agents.push(vm);
        Ok(())
    }

    /// Creates or removes the entry of a failure domain.
    pub(crate) fn set_evacuated(&self, domain: u8, is_evacuated: bool) {
        let name = domain_name(domain);
        if is_evacuated {
            self.store.evacuate(&name);
        } else {
            self.store.end_evacuation(&name);
        }
    }

    /// Writes the next version of the configuration, with or without the extra route.
    pub(crate) fn configure(&mut self, has_extra_route: bool) {
        self.version += 1 + self.version % 3;
        let mut routes = vec![route(0, 1), route(1, 2)];
        if has_extra_route {
            routes.push(RouteSpec {
                service_address: extra_address(),
                service: service_name(EXTRA_SERVICE),
            });
        }
        self.routes = routes;
        self.store.configure(self.version, &self.routes);
    }

    /// Takes a copy of the store after another program has written to it; called once a second.
    pub(crate) fn copy_store(&mut self) {
        self.store.write_as_other_program(self.foreign_writes);
        self.foreign_writes += 1;
        self.copies.push_back(self.store.copy());
        if self.copies.len() > MAX_COPIES {
            self.copies.pop_front();
        }
    }

    /// Returns the store to the copy of `age_s` seconds ago, or to the oldest one. The operator writes
    /// the configuration again.
    pub(crate) fn restore_store(&mut self, age_s: usize) {
        let index = self.copies.len().saturating_sub(age_s + 1);
        let Some(copy) = self.copies.get(index) else {
            return;
        };
        self.store.restore(copy);
        self.copies.truncate(index + 1);
        self.store.configure(self.version, &self.routes);
    }

    /// Makes changes to objects of other programs in the store.
    pub(crate) fn write_others(&self, count: u64) {
        self.store.write_others(count);
    }

    pub(crate) fn caller_address(&self, number: u8) -> SocketAddr {
        address(self.network, CALLER_SUBNET, number, DATA_PORT)
    }

    /// Returns the name of the balancer with `data_address`.
    pub(crate) fn balancer_name(data_address: SocketAddr) -> String {
        match data_address.ip() {
            IpAddr::V4(ip) => format!("balancer-{}", ip.octets()[3]),
            IpAddr::V6(ip) => ip.to_string(),
        }
    }

    /// Sets the mode of the connections of all processes to the platform store.
    pub(crate) fn set_store_proxy_mode(&self, mode: ProxyMode) {
        self.agent_store_proxy.set_mode(mode);
        for proxy in &self.balancer_store_proxies {
            proxy.set_mode(mode);
        }
    }

    /// Sets the mode of the connections of a balancer to the platform store.
    pub(crate) fn set_balancer_store_proxy_mode(&self, index: usize, mode: ProxyMode) {
        self.balancer_store_proxies[index].set_mode(mode);
    }

    /// Silences all open connections of the balancers to the platform store.
    pub(crate) fn silence_balancer_store_connections(&self) {
        for proxy in &self.balancer_store_proxies {
            proxy.silence_connections();
        }
    }

    /// Returns a router that chooses only the balancer `index`.
    pub(crate) fn router_to(&self, index: usize) -> Router {
        self.router.spawn_restricted(index)
    }
}

/// Returns the data address and the readiness address of a balancer.
const fn router_target(network: u8, number: u8) -> (SocketAddr, SocketAddr) {
    (
        address(network, BALANCER_SUBNET, number, DATA_PORT),
        address(network, BALANCER_SUBNET, number, READY_PORT),
    )
}

/// Returns the address at which a balancer reaches the platform store.
const fn balancer_store_address(network: u8, number: u8) -> SocketAddr {
    address(
        network,
        STORE_SUBNET,
        FIRST_STORE_PROXY + number,
        STORE_PORT,
    )
}

/// Returns the address at which agents reach the platform store.
const fn agent_store_address(network: u8) -> SocketAddr {
    address(network, STORE_SUBNET, 2, STORE_PORT)
}

impl AgentVm {
    /// Starts a new incarnation of the upstream.
    pub(crate) async fn start_upstream(&mut self) -> anyhow::Result<()> {
        self.incarnations += 1;
        let mut options = self.options.clone();
        options.id = self.upstream_name(self.incarnations);
        let started_at = Instant::now();
        loop {
            match Upstream::bind(options.clone(), DRAIN_LIMIT).await {
                Ok(upstream) => {
                    self.upstream = Some(upstream);
                    return Ok(());
                }
                // Pending requests of the previous incarnation keep its socket open.
                Err(error) if started_at.elapsed() > BIND_TIMEOUT => return Err(error.into()),
                Err(_) => sleep(BIND_PAUSE).await,
            }
        }
    }

    /// Returns whether the agent takes new flows of the service with `number`, and neither it nor its
    /// upstream was disturbed lately.
    pub(crate) fn serves_undisturbed(&self, number: u8, record: &RunRecord) -> bool {
        self.options.service == service_name(number) && self.is_serving_undisturbed(record)
    }

    /// Returns whether the agent takes new flows, and neither it nor its upstream was disturbed lately.
    pub(crate) fn is_serving_undisturbed(&self, record: &RunRecord) -> bool {
        self.upstream.as_ref().is_some_and(|it| !it.is_draining())
            && record.is_undisturbed(&self.process.name)
            && record.is_undisturbed(&self.upstream_name(self.incarnations))
    }

    /// Returns the service address at which callers reach the upstream.
    pub(crate) fn service_address(&self) -> SocketAddr {
        let is_second = self.options.service == service_name(2);
        service_address(u8::from(is_second))
    }

    /// Returns the number of incarnations of the upstream so far.
    pub(crate) const fn incarnations(&self) -> u32 {
        self.incarnations
    }

    /// Returns the name of an incarnation of the upstream.
    pub(crate) fn upstream_name(&self, incarnation: u32) -> String {
        format!("{}.{incarnation}", self.options.id)
    }

    /// Records the requests that the upstream executed and the flows that opened too late.
    pub(crate) fn report(&self, record: &RunRecord) {
        let Some(upstream) = &self.upstream else {
            return;
        };
        record.record_executed(upstream.take_executed());
        for flow in upstream.late_openings() {
            record.record_violation(format!(
                "{flow} opened at {} after the drain limit",
                self.process.name
            ));
        }
    }
}

pub(crate) fn service_address(number: u8) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(198, 18, 0, number)), 443)
}

/// Service address of the extra route, which is added and removed during a run.
pub(crate) fn extra_address() -> SocketAddr {
    service_address(9)
}

fn route(address: u8, service: u8) -> RouteSpec {
    RouteSpec {
        service_address: service_address(address),
        service: service_name(service),
    }
}

fn service_name(number: u8) -> String {
    format!("service-{number}")
}

fn service_of(agent: u8) -> String {
    service_name(if agent.is_multiple_of(3) { 2 } else { 1 })
}

const fn address(network: u8, subnet: u8, number: u8, port: u16) -> SocketAddr {
    SocketAddr::new(
        IpAddr::V4(Ipv4Addr::new(127, network, subnet, number)),
        port,
    )
}

/// Returns the number of the failure domain of a balancer.
pub(crate) const fn balancer_domain(number: u8) -> u8 {
    number % FAILURE_DOMAINS
}

/// Returns the number of the failure domain of an agent. Each service has agents in several ones.
const fn agent_domain(number: u8) -> u8 {
    (number % FAILURE_DOMAINS + number / FAILURE_DOMAINS) % FAILURE_DOMAINS
}

pub(crate) fn domain_name(domain: u8) -> String {
    format!("domain-{domain}")
}

fn process_settings(network: u8, subnet: u8, number: u8, store_address: SocketAddr) -> Value {
    let seeds = [address(network, BALANCER_SUBNET, 1, HEARTBEAT_PORT)];
    json!({
        "flows": "opaque",
        "data_address": address(network, subnet, number, DATA_PORT),
        "ready_address": address(network, subnet, number, READY_PORT),
        "peer_address": address(network, subnet, number, PEER_PORT),
        "seed_addresses": seeds,
        "store_address": store_address,
        "log": { "format": "json", "output": "stdout", "lines_per_second": 500 },
    })
}

fn balancer_settings(network: u8, number: u8) -> Value {
    let mut settings = process_settings(
        network,
        BALANCER_SUBNET,
        number,
        balancer_store_address(network, number),
    );
    settings["role"] = json!("balancer");
    settings["failure_domain"] = json!(domain_name(balancer_domain(number)));
    settings["drain_limit_ms"] = json!(5_000);
    settings
}

fn agent_settings(network: u8, number: u8, service: &str) -> Value {
    let at = |port| address(network, AGENT_SUBNET, number, port);
    let mut settings =
        process_settings(network, AGENT_SUBNET, number, agent_store_address(network));
    settings["role"] = json!("agent");
    settings["failure_domain"] = json!(domain_name(agent_domain(number)));
    settings["service"] = json!(service);
    settings["upstream_address"] = json!(at(UPSTREAM_PORT));
    settings["upstream_output_address"] = json!(at(OUTPUT_PORT));
    settings["heartbeat_address"] = json!(at(HEARTBEAT_PORT));
    settings["heartbeat_ms"] = json!(HEARTBEAT_INTERVAL.as_millis() as u64);
    settings["flow_idle_ms"] = json!(60_000);
    settings
}

fn upstream_options(network: u8, number: u8, service: String) -> UpstreamOptions {
    let at = |port| address(network, AGENT_SUBNET, number, port);
    UpstreamOptions {
        id: format!("upstream-{number}"),
        service,
        address: at(UPSTREAM_PORT),
        output_address: at(OUTPUT_PORT),
        heartbeat_address: at(HEARTBEAT_PORT),
        heartbeat_interval: HEARTBEAT_INTERVAL,
        service_time: SERVICE_TIME,
    }
}

/// Binds the store in the first network that no other run uses.
async fn bind_store() -> anyhow::Result<(u8, SocketAddr, Store)> {
    let first = std::process::id() % NETWORKS;
    for offset in 0..NETWORKS {
        let network = FIRST_NETWORK + ((first + offset) % NETWORKS) as u8;
        let store_address = address(network, STORE_SUBNET, 1, STORE_PORT);
        match Store::bind(store_address).await {
            Ok(store) => return Ok((network, store_address, store)),
            Err(error) if error.kind() == std::io::ErrorKind::AddrInUse => {}
            Err(error) => return Err(error.into()),
        }
    }
    anyhow::bail!("all loopback networks are in use by other runs")
}

fn binary(cli: &Cli) -> anyhow::Result<PathBuf> {
    if let Some(binary) = &cli.binary {
        return Ok(binary.clone());
    }
    let current = std::env::current_exe()?;
    Ok(current.with_file_name("hawthorntide"))
}
