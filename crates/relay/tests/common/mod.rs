//! Processes on loopback addresses, and the configuration that the balancers have in force.
#![allow(dead_code, reason = "each test file uses a part of the module")]

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use hawthorntide_opaque::OpeningPolicy;
use hawthorntide_relay::{
    ProcessOptions, RelayAgent, RelayAgentOptions, RelayBalancer, RelayBalancerOptions,
};
use hawthorntide_standins::{RouteSpec, Upstream, UpstreamOptions};
use hawthorntide_store::ObjectKind;
use hawthorntide_types::{DurationMs, Incarnation};
use tokio::time::{sleep, timeout};

/// Test time-out, well above the few seconds that a change takes.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// A confirmed change must be in force at every balancer within this time.
pub const APPLY_TIMEOUT: Duration = Duration::from_secs(3);

/// Port for messages between processes, the same on all hosts.
pub const PEER_PORT: u16 = 27_720;

/// Returns a loopback address for `host`; the process id keeps parallel runs apart.
pub fn address(host: u8, port: u16) -> SocketAddr {
    let id = std::process::id();
    let ip = Ipv4Addr::new(127, 60 + (id % 100) as u8, (id / 100 % 250) as u8, host);
    SocketAddr::from((ip, port))
}

fn process_options(host: u8, seed: u8, store_address: SocketAddr) -> ProcessOptions {
    ProcessOptions {
        failure_domain: "domain".parse().unwrap(),
        peer_address: address(host, PEER_PORT),
        seeds: vec![address(host, PEER_PORT), address(seed, PEER_PORT)],
        store_address,
        incarnation: Incarnation(u64::from(host)),
        seed: u64::from(host),
    }
}

/// Starts the balancer on `host`, which learns of the one on `seed`.
pub async fn spawn_balancer(host: u8, seed: u8, store_address: SocketAddr) -> RelayBalancer {
    let options = RelayBalancerOptions {
        process: process_options(host, seed, store_address),
        data_address: address(host, 27_721),
        ready_address: address(host, 27_722),
        metrics_address: None,
        has_evacuations: true,
        cold_start_tolerance: None,
    };
    RelayBalancer::spawn(options).await.unwrap()
}

pub fn route(number: u8) -> RouteSpec {
    RouteSpec {
        service_address: SocketAddr::from(([198, 18, 0, number], 443)),
        service: "service".to_owned(),
    }
}

/// Fetches the configuration version in force at the balancer on `host`.
pub async fn version_in_force(host: u8) -> Option<u64> {
    let url = format!("http://{}/configuration", address(host, PEER_PORT));
    let answer = reqwest::get(url).await.ok()?.error_for_status().ok()?;
    let configuration: serde_json::Value = answer.json().await.ok()?;
    configuration["version"].as_u64()
}

/// Waits until the balancer on `host` has the version in force; returns whether it has in time.
pub async fn has_version(host: u8, expected: u64, limit: Duration) -> bool {
    let is_in_force = async {
        while version_in_force(host).await != Some(expected) {
            sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(limit, is_in_force).await.is_ok()
}

/// Returns whether the condition becomes true in time.
pub async fn becomes_true(condition: impl Fn() -> bool, limit: Duration) -> bool {
    let is_true = async {
        while !condition() {
            sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(limit, is_true).await.is_ok()
}

/// Options of the agent on `host`, which learns of the process on `seed`.
pub fn agent_options(host: u8, seed: u8, store_address: SocketAddr) -> RelayAgentOptions {
    RelayAgentOptions {
        process: process_options(host, seed, store_address),
        service: "service".parse().unwrap(),
        upstream_address: address(host, 27_725),
        upstream_output_address: address(host, 27_722),
        heartbeat_address: address(host, 27_726),
        ready_address: address(host, 27_727),
        metrics_address: None,
        caller_port: 27_721,
        heartbeat_ms: DurationMs(500),
        flow_idle_ms: DurationMs(60_000),
        opening_policy: OpeningPolicy::default(),
    }
}

/// Starts an agent on `host` and its upstream, which has no flows.
pub async fn spawn_agent(host: u8, seed: u8, store_address: SocketAddr) -> (RelayAgent, Upstream) {
    let options = agent_options(host, seed, store_address);
    let upstream_options = UpstreamOptions {
        id: format!("upstream-{host}"),
        service: "service".to_owned(),
        address: options.upstream_address,
        output_address: options.upstream_output_address,
        heartbeat_address: options.heartbeat_address,
        heartbeat_interval: Duration::from_millis(500),
        service_time: Duration::from_millis(20),
    };
    let agent = RelayAgent::spawn(options).await.unwrap();
    let upstream = Upstream::bind(upstream_options, Duration::from_secs(3)).await;
    (agent, upstream.unwrap())
}

/// Starts the next incarnation of a process, once the previous one has released its sockets.
pub async fn respawn_agent(mut options: RelayAgentOptions) -> RelayAgent {
    let process = &mut options.process;
    process.incarnation = Incarnation(process.incarnation.0 + 1_000);
    let spawned = async {
        loop {
            if let Ok(agent) = RelayAgent::spawn(options.clone()).await {
                return agent;
            }
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(TEST_TIMEOUT, spawned).await.unwrap()
}

/// Returns the name of an object of the process on `host` in the platform store.
pub fn object_name(kind: ObjectKind, host: u8) -> String {
    let address = address(host, PEER_PORT);
    format!("{kind}.{}.{}", address.ip(), address.port())
}
