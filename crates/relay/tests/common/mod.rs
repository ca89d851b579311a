//! Balancer processes on loopback addresses, and the configuration that they have in force.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use hawthorntide_relay::{ProcessOptions, RelayBalancer, RelayBalancerOptions};
use hawthorntide_standins::RouteSpec;
use hawthorntide_types::Incarnation;
use tokio::time::{sleep, timeout};

/// Test time-out, well above the few seconds that a change takes.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Port for messages between processes, the same on all hosts.
const PEER_PORT: u16 = 27_720;

/// Returns a loopback address for `host`; the process id keeps parallel runs apart.
pub fn address(host: u8, port: u16) -> SocketAddr {
    let id = std::process::id();
    let ip = Ipv4Addr::new(127, 60 + (id % 100) as u8, (id / 100 % 250) as u8, host);
    SocketAddr::from((ip, port))
}

/// Starts the balancer on `host`, which learns of the one on `seed`.
pub async fn spawn_balancer(host: u8, seed: u8, store_address: SocketAddr) -> RelayBalancer {
    let process = ProcessOptions {
        failure_domain: "domain".parse().unwrap(),
        peer_address: address(host, PEER_PORT),
        seeds: vec![address(host, PEER_PORT), address(seed, PEER_PORT)],
        store_address,
        incarnation: Incarnation(u64::from(host)),
        seed: u64::from(host),
    };
    let options = RelayBalancerOptions {
        process,
        data_address: address(host, 27_721),
        ready_address: address(host, 27_722),
        metrics_address: None,
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
