//! Router of the platform: checks which balancers are ready and selects one for each packet.

use std::net::{SocketAddr, SocketAddrV4};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;

const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// A balancer is out of rotation after this many failed checks.
const MAX_MISSES: u32 = 2;

#[derive(Clone, Debug)]
pub struct Node {
    pub name: String,
    pub zone: usize,
    pub data: SocketAddr,
    pub ready: SocketAddr,
}

#[derive(Clone, Debug)]
pub struct Router {
    nodes: Arc<Vec<Node>>,
    misses: Arc<Mutex<Vec<u32>>>,
}

impl Router {
    pub fn spawn(nodes: Vec<Node>, record: &Record) -> Self {
        let router = Self {
            misses: Arc::new(Mutex::new(vec![MAX_MISSES; nodes.len()])),
            nodes: Arc::new(nodes),
        };
        for index in 0..router.nodes.len() {
            let (router, record) = (router.clone(), record.clone());
            thread::spawn(move || router.check(index, &record));
        }
        router
    }

    fn misses(&self) -> MutexGuard<'_, Vec<u32>> {
        self.misses.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn check(&self, index: usize, record: &Record) {
        let node = &self.nodes[index];
        loop {
            let started = Instant::now();
            let is_ready = http::call(node.ready, "GET", "/ready", "", CHECK_INTERVAL) == Some(200);
            let mut misses = self.misses();
            let was_used = misses[index] < MAX_MISSES;
            misses[index] = if is_ready { 0 } else { misses[index] + 1 };
            let is_used = misses[index] < MAX_MISSES;
            drop(misses);
            if was_used != is_used {
                record.line(&format!("router: {} in rotation: {is_used}", node.name));
            }
            thread::sleep(CHECK_INTERVAL.saturating_sub(started.elapsed()));
        }
    }

    pub fn all_in_rotation(&self) -> bool {
        self.misses().iter().all(|misses| *misses < MAX_MISSES)
    }

    /// Selects the balancer for a packet of a requester in `zone` (`hash` = `mod`).
    pub fn select(
        &self,
        zone: usize,
        source: SocketAddrV4,
        destination: SocketAddrV4,
    ) -> SocketAddr {
        let misses = self.misses();
        let of = |is_wanted: &dyn Fn(usize, &Node) -> bool| -> Vec<SocketAddr> {
            let nodes = self.nodes.iter().enumerate();
            nodes
                .filter(|(index, node)| is_wanted(*index, node))
                .map(|(_, node)| node.data)
                .collect()
        };
        let is_used = |index: usize| misses[index] < MAX_MISSES;
        let all_of_zone = of(&|_, node| node.zone == zone);
        let used_of_zone = of(&|index, node| node.zone == zone && is_used(index));
        let used_elsewhere = of(&|index, node| node.zone != zone && is_used(index));
        let candidates = if used_of_zone.is_empty() && !used_elsewhere.is_empty() {
            used_elsewhere
        } else if used_of_zone.len() * 2 < all_of_zone.len() {
            all_of_zone
        } else {
            used_of_zone
        };
        candidates[hash(source, destination) as usize % candidates.len()]
    }
}

fn hash(source: SocketAddrV4, destination: SocketAddrV4) -> u32 {
    let mut hash = 0x811c_9dc5_u32;
    for address in [source, destination] {
        for byte in address
            .ip()
            .octets()
            .into_iter()
            .chain(address.port().to_be_bytes())
        {
            hash = (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193);
        }
    }
    hash ^ hash >> 15
}
