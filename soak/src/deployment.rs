//! Processes and stand-ins of one run.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use hawthorntide_standins::{
    ProxyMode, RouteSpec, Router, Store, TcpProxy, Upstream, UpstreamOptions,
};
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::cli::Cli;
use crate::process::Process;
use crate::record::Ledger;

/// Ports, the same on each address of the run.
const DATA_PORT: u16 = 21_172;
const READY_PORT: u16 = 21_167;
const HEARTBEAT_PORT: u16 = 21_166;
const OUTPUT_PORT: u16 = 21_162;
const UPSTREAM_PORT: u16 = 21_165;
const PEER_PORT: u16 = 21_720;
const STORE_PORT: u16 = 21_169;

/// Networks of which a run takes one, the second of the four numbers of its addresses.
const FIRST_NETWORK: u8 = 100;
const NETWORKS: u32 = 100;

/// Networks of the run's addresses, the third of their four numbers.
const BALANCER_NET: u8 = 1;
const AGENT_NET: u8 = 2;
const CALLER_NET: u8 = 3;
const STORE_NET: u8 = 4;

/// Time between two heartbeats of an upstream.
const HEARTBEAT: Duration = Duration::from_millis(500);

/// Time after the acknowledged drain in which an upstream may still get new flows.
const DRAIN_LIMIT: Duration = Duration::from_secs(3);

/// Time that a request takes.
const WORK: Duration = Duration::from_millis(20);

/// Longest time until the address of an earlier life is free.
const BIND_LIMIT: Duration = Duration::from_secs(2);

/// Pause between two tries to bind an address.
const BIND_PAUSE: Duration = Duration::from_millis(10);

/// Agent with the upstream beside it.
#[derive(Debug)]
pub(crate) struct AgentVm {
    pub(crate) process: Process,
    pub(crate) upstream: Option<Upstream>,
    options: UpstreamOptions,
    lives: u32,
}

/// Everything that a run starts; it ends when this is dropped.
#[derive(Debug)]
pub(crate) struct Fleet {
    pub(crate) balancers: Vec<Process>,
    pub(crate) agents: Vec<AgentVm>,
    pub(crate) store_link: TcpProxy,
    pub(crate) router: Arc<Router>,
    pub(crate) version: u64,
    store: Store,
    network: u8,
}

impl Fleet {
    /// Starts all processes and writes the first configuration.
    pub(crate) async fn spawn(cli: &Cli, directory: &Path) -> anyhow::Result<Self> {
        let binary = binary(cli)?;
        let (network, store_address, store) = bind_store().await?;
        let link_address = address(network, STORE_NET, 2, STORE_PORT);
        let store_link = TcpProxy::bind(link_address, store_address).await?;
        let mut balancers = Vec::new();
        let mut targets = Vec::new();
        for number in 1..=cli.balancers {
            let settings = balancer_settings(network, number);
            let name = format!("balancer-{number}");
            balancers.push(Process::spawn(
                &binary, directory, "balancer", &name, &settings,
            )?);
            targets.push((
                address(network, BALANCER_NET, number, DATA_PORT),
                address(network, BALANCER_NET, number, READY_PORT),
            ));
        }
        let mut agents = Vec::new();
        for number in 1..=cli.agents {
            let service = if cli.broken_service {
                service_name(0)
            } else {
                service_of(number)
            };
            let settings = agent_settings(network, number, &service);
            let name = format!("agent-{number}");
            let process = Process::spawn(&binary, directory, "agent", &name, &settings)?;
            let mut vm = AgentVm {
                process,
                upstream: None,
                options: upstream_options(network, number, service),
                lives: 0,
            };
            vm.start_upstream().await?;
            agents.push(vm);
        }
        let mut fleet = Self {
            balancers,
            agents,
            store_link,
            router: Arc::new(Router::spawn(targets)),
            version: 0,
            store,
            network,
        };
        fleet.configure(false);
        Ok(fleet)
    }

    /// Writes the next version, with the extra route or without it.
    pub(crate) fn configure(&mut self, has_extra_route: bool) {
        self.version += 1 + self.version % 3;
        let mut routes = vec![route(0, 1), route(1, 2)];
        if has_extra_route {
            routes.push(RouteSpec {
                service_address: extra_address(),
                service: service_name(1),
            });
        }
        self.store.configure(self.version, &routes);
    }

    /// Returns the address of a caller.
    pub(crate) fn caller_address(&self, number: u8) -> SocketAddr {
        address(self.network, CALLER_NET, number, DATA_PORT)
    }

    /// Returns the name of the balancer whose packets go to `data_address`.
    pub(crate) fn balancer_name(data_address: SocketAddr) -> String {
        match data_address.ip() {
            IpAddr::V4(ip) => format!("balancer-{}", ip.octets()[3]),
            IpAddr::V6(ip) => ip.to_string(),
        }
    }

    pub(crate) fn set_store_link(&self, mode: ProxyMode) {
        self.store_link.set_mode(mode);
    }
}

impl AgentVm {
    /// Starts a new life of the upstream.
    pub(crate) async fn start_upstream(&mut self) -> anyhow::Result<()> {
        self.lives += 1;
        let mut options = self.options.clone();
        options.id = self.upstream_name(self.lives);
        let began = Instant::now();
        loop {
            match Upstream::bind(options.clone(), DRAIN_LIMIT).await {
                Ok(upstream) => {
                    self.upstream = Some(upstream);
                    return Ok(());
                }
                // Work of the life before keeps its socket open until it ends.
                Err(error) if began.elapsed() > BIND_LIMIT => return Err(error.into()),
                Err(_) => sleep(BIND_PAUSE).await,
            }
        }
    }

    /// Returns how many lives the upstream has had.
    pub(crate) const fn lives(&self) -> u32 {
        self.lives
    }

    /// Returns the name of the upstream in one of its lives.
    pub(crate) fn upstream_name(&self, life: u32) -> String {
        format!("{}.{life}", self.options.id)
    }

    /// Tells `ledger` what ran at the upstream and what reached it too late.
    pub(crate) fn report(&self, ledger: &Ledger) {
        let Some(upstream) = &self.upstream else {
            return;
        };
        ledger.ran(upstream.take_executed());
        for flow in upstream.late_openings() {
            ledger.broken(format!("{flow} opened at draining {}", self.process.name));
        }
    }
}

/// Address that callers use for a service.
pub(crate) fn service_address(number: u8) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(198, 18, 0, number)), 443)
}

/// Address of the route that comes and goes.
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

const fn address(network: u8, net: u8, number: u8, port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, network, net, number)), port)
}

fn process_settings(network: u8, net: u8, number: u8) -> Value {
    let seeds = [address(network, BALANCER_NET, 1, HEARTBEAT_PORT)];
    json!({
        "flows": "opaque",
        "failure_domain": format!("domain-{}", number % 3),
        "data_address": address(network, net, number, DATA_PORT),
        "ready_address": address(network, net, number, READY_PORT),
        "peer_address": address(network, net, number, PEER_PORT),
        "seed_addresses": seeds,
        "store_address": address(network, STORE_NET, 2, STORE_PORT),
        "log": { "format": "json", "output": "stdout", "lines_per_second": 500 },
    })
}

fn balancer_settings(network: u8, number: u8) -> Value {
    let mut settings = process_settings(network, BALANCER_NET, number);
    settings["role"] = json!("balancer");
    settings["drain_limit_ms"] = json!(5_000);
    settings
}

fn agent_settings(network: u8, number: u8, service: &str) -> Value {
    let at = |port| address(network, AGENT_NET, number, port);
    let mut settings = process_settings(network, AGENT_NET, number);
    settings["role"] = json!("agent");
    settings["service"] = json!(service);
    settings["upstream_address"] = json!(at(UPSTREAM_PORT));
    settings["upstream_output_address"] = json!(at(OUTPUT_PORT));
    settings["heartbeat_address"] = json!(at(HEARTBEAT_PORT));
    settings["heartbeat_ms"] = json!(HEARTBEAT.as_millis() as u64);
    settings["flow_idle_ms"] = json!(60_000);
    settings
}

fn upstream_options(network: u8, number: u8, service: String) -> UpstreamOptions {
    let at = |port| address(network, AGENT_NET, number, port);
    UpstreamOptions {
        id: format!("upstream-{number}"),
        service,
        address: at(UPSTREAM_PORT),
        output_address: at(OUTPUT_PORT),
        heartbeat_address: at(HEARTBEAT_PORT),
        heartbeat_interval: HEARTBEAT,
        service_time: WORK,
    }
}

/// Binds the store in the first network of addresses that no other run uses.
async fn bind_store() -> anyhow::Result<(u8, SocketAddr, Store)> {
    let first = std::process::id() % NETWORKS;
    for offset in 0..NETWORKS {
        let network = FIRST_NETWORK + ((first + offset) % NETWORKS) as u8;
        let store_address = address(network, STORE_NET, 1, STORE_PORT);
        match Store::bind(store_address).await {
            Ok(store) => return Ok((network, store_address, store)),
            Err(error) if error.kind() == std::io::ErrorKind::AddrInUse => {}
            Err(error) => return Err(error.into()),
        }
    }
    anyhow::bail!("every network of addresses is in use")
}

/// Returns the binary of the processes.
fn binary(cli: &Cli) -> anyhow::Result<PathBuf> {
    if let Some(binary) = &cli.binary {
        return Ok(binary.clone());
    }
    let own = std::env::current_exe()?;
    Ok(own.with_file_name("hawthorntide"))
}
