//! Small deployment on loopback addresses: the processes under test with the stand-ins round them.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::Path;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::busy::{Counts, EndpointOptions, spawn_caller, spawn_endpoint};
use crate::json::Json;
use crate::openings::{Opening, spawn_opener};
use crate::process::Process;
use crate::record::Record;
use crate::router::{Node, Router};
use crate::store::Store;

const DATA_PORT: u16 = 8172;
const READY_PORT: u16 = 8167;
const CONTROL_PORT: u16 = 8166;
const OUTBOUND_PORT: u16 = 8162;
const APP_PORT: u16 = 8165;
const STORE_PORT: u16 = 8169;
const INTERNAL_PORTS: [u16; 2] = [7720, 7721];

/// Address of the route, which only appears inside packets.
const ROUTE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);

const SERVICE: &str = "desk";

/// Size and timing of a deployment.
#[derive(Clone, Debug)]
pub struct Plan {
    pub zones: Vec<&'static str>,
    /// Zone of each balancer.
    pub balancers: Vec<usize>,
    /// Zone of each agent with its endpoint.
    pub agents: Vec<usize>,
    pub heartbeat: Duration,
    pub slots: usize,
    /// `sloMs` and `timeoutMs` of the route.
    pub slo_ms: u64,
    pub timeout_ms: u64,
    /// Whether the site has bounds for evacuations and for cold endpoints.
    pub has_evacuations: bool,
    /// Revision at which the store starts.
    pub first_revision: u64,
    pub counts: Arc<Counts>,
}

/// Running deployment. Its processes end when it is dropped.
#[derive(Debug)]
pub struct Deployment {
    pub plan: Plan,
    pub balancers: Vec<Process>,
    pub agents: Vec<Process>,
    pub store: Store,
    router: Router,
    network: u8,
}

impl Deployment {
    /// Starts everything and waits until all balancers are in rotation.
    pub fn start(plan: Plan, folder: &Path, record: &Record) -> std::io::Result<Self> {
        let (network, store) = bind_store(plan.first_revision)?;
        store.write("config", "main", configuration(1, &plan));
        let mut agents = Vec::new();
        for (index, zone) in plan.agents.iter().enumerate() {
            let at = |port| address(network, 2, index, port);
            let options = EndpointOptions {
                id: endpoint_name(index),
                service: SERVICE.to_owned(),
                zone: plan.zones[*zone].to_owned(),
                app: at(APP_PORT),
                outbound: at(OUTBOUND_PORT),
                control: at(CONTROL_PORT),
                heartbeat: plan.heartbeat,
                slots: plan.slots,
            };
            spawn_endpoint(options, &plan.counts)?;
            let settings = agent_settings(network, index, &plan);
            agents.push(Process::spawn(
                folder,
                &format!("agent-{}", index + 1),
                "agent",
                &settings,
            )?);
        }
        let mut balancers = Vec::new();
        let mut nodes = Vec::new();
        for (index, zone) in plan.balancers.iter().enumerate() {
            let name = format!("balancer-{}", index + 1);
            let settings = balancer_settings(network, index, &plan);
            balancers.push(Process::spawn(folder, &name, "balancer", &settings)?);
            nodes.push(Node {
                name,
                zone: *zone,
                data: address(network, 1, index, DATA_PORT),
                ready: address(network, 1, index, READY_PORT),
            });
        }
        let router = Router::spawn(nodes, record);
        let deployment = Self {
            plan,
            balancers,
            agents,
            store,
            router,
            network,
        };
        if !wait_until(Duration::from_secs(15), || {
            deployment.router.all_in_rotation()
        }) {
            return Err(std::io::Error::other("the balancers did not become ready"));
        }
        Ok(deployment)
    }

    /// Starts a requester in `zone` that sends many small requests on `flows` flows.
    pub fn caller(
        &self,
        number: usize,
        zone: usize,
        flows: u16,
    ) -> std::io::Result<JoinHandle<()>> {
        let SocketAddr::V4(address) = address(self.network, 3, number, DATA_PORT) else {
            return Err(std::io::Error::other("not an IPv4 address"));
        };
        spawn_caller(zone, address, flows, ROUTE, &self.router, &self.plan.counts)
    }

    /// Starts a requester in `zone` that opens a flow at each `interval`, for one request.
    pub fn opener(
        &self,
        number: usize,
        zone: usize,
        interval: Duration,
    ) -> std::io::Result<JoinHandle<Vec<Opening>>> {
        let SocketAddr::V4(address) = address(self.network, 3, number, DATA_PORT) else {
            return Err(std::io::Error::other("not an IPv4 address"));
        };
        let counts = &self.plan.counts;
        spawn_opener(zone, address, interval, ROUTE, &self.router, counts)
    }

    /// Returns the address to which an endpoint sends its packets, which names the endpoint in `Taken`.
    pub fn endpoint_outbound(&self, index: usize) -> SocketAddr {
        address(self.network, 2, index, OUTBOUND_PORT)
    }

    /// Returns the address at which an agent serves its metrics.
    pub fn agent_metrics(&self, index: usize) -> SocketAddr {
        address(self.network, 2, index, INTERNAL_PORTS[1])
    }
}

fn endpoint_name(index: usize) -> String {
    format!("endpoint-{}", index + 1)
}

/// Waits until `is_done` returns true; returns whether it did within `limit`.
fn wait_until(limit: Duration, is_done: impl Fn() -> bool) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if is_done() {
            return true;
        }
        thread::sleep(Duration::from_millis(10));
    }
    false
}

/// Configuration with one route.
fn configuration(version: u64, plan: &Plan) -> Json {
    let text = format!(
        "{{\"version\":{version},\"routes\":[{{\"host\":\"{}\",\"pathPrefix\":\"/{}/\",\
         \"service\":\"{SERVICE}\",\"type\":\"unsafe\",\"timeoutMs\":{},\"sloMs\":{},\"priority\":1}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"healthPath\":\"/health\"}}],\
         \"limits\":{{\"idleTimeoutMs\":30000}}}}",
        ROUTE.ip(),
        ROUTE.port(),
        plan.timeout_ms,
        plan.slo_ms
    );
    Json::parse(&text).unwrap_or(Json::Null)
}

/// Settings as `deploy/balancer.jsonc` gives them.
fn balancer_settings(network: u8, index: usize, plan: &Plan) -> String {
    let at = |port| address(network, 1, index, port);
    let bounds = if plan.has_evacuations {
        "\"evacuations\": true, \"cold_start\": { \"excess\": 1.5, \"slack\": 5 }, "
    } else {
        ""
    };
    format!(
        "{{ \"role\": \"balancer\", \"flows\": \"opaque\", \"failure_domain\": \"{}\", {}, \
         {bounds}\"drain_limit_ms\": 5000, {} }}",
        plan.zones[plan.balancers[index]],
        common_settings(network, &at, plan),
        LOG
    )
}

/// Settings as `deploy/agent.jsonc` gives them.
fn agent_settings(network: u8, index: usize, plan: &Plan) -> String {
    let at = |port| address(network, 2, index, port);
    format!(
        "{{ \"role\": \"agent\", \"flows\": \"opaque\", \"failure_domain\": \"{}\", {}, \
         \"service\": \"{SERVICE}\", \"upstream_address\": \"{}\", \"upstream_output_address\": \"{}\", \
         \"heartbeat_address\": \"{}\", \"heartbeat_ms\": {}, \"hand_off\": \"least_loaded\", \
         \"refuse_when_full\": true, \"flow_idle_ms\": 60000, {} }}",
        plan.zones[plan.agents[index]],
        common_settings(network, &at, plan),
        at(APP_PORT),
        at(OUTBOUND_PORT),
        at(CONTROL_PORT),
        plan.heartbeat.as_millis(),
        LOG
    )
}

const LOG: &str = "\"log\": { \"format\": \"json\", \"output\": \"stdout\", \"level\": \"info\", \
                   \"lines_per_second\": 100 }";

fn common_settings(network: u8, at: &dyn Fn(u16) -> SocketAddr, plan: &Plan) -> String {
    let seeds = (0..plan.balancers.len().min(3)).map(|it| address(network, 1, it, CONTROL_PORT));
    let seeds: Vec<String> = seeds.map(|it| format!("\"{it}\"")).collect();
    format!(
        "\"data_address\": \"{}\", \"ready_address\": \"{}\", \"peer_address\": \"{}\", \
         \"metrics_address\": \"{}\", \"seed_addresses\": [{}], \"store_address\": \"{}\"",
        at(DATA_PORT),
        at(READY_PORT),
        at(INTERNAL_PORTS[0]),
        at(INTERNAL_PORTS[1]),
        seeds.join(", "),
        address(network, 4, 0, STORE_PORT)
    )
}

/// Address of a machine: the third octet is its class, the fourth its number.
fn address(network: u8, class: u8, index: usize, port: u16) -> SocketAddr {
    let ip = Ipv4Addr::new(127, network, class, index as u8 + 1);
    SocketAddr::V4(SocketAddrV4::new(ip, port))
}

/// Binds the store in the first loopback network that nobody else uses.
fn bind_store(first_revision: u64) -> std::io::Result<(u8, Store)> {
    let first = std::process::id() % 100;
    for offset in 0..100 {
        let network = 20 + ((first + offset) % 100) as u8;
        if let Ok(store) = Store::bind(address(network, 4, 0, STORE_PORT), first_revision) {
            return Ok((network, store));
        }
    }
    Err(std::io::Error::other("all loopback networks are in use"))
}
