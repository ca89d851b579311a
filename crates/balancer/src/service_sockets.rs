//! Sockets bound to the service addresses; opened and closed as the configured services change.

use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLock, RwLockReadGuard};
use std::time::Duration;

use hawthorntide_configuration::SERVICE_KIND;
use hawthorntide_types::Service;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::balancer::Shared;
use crate::batch::{BatchSocket, MAX_WORKERS, bind_reuse_port};
use crate::control::ControlHandle;
use crate::forward::{ForwardTask, Source};

/// Interval between attempts to bind an address that could not be bound.
const RETRY_INTERVAL: Duration = Duration::from_secs(5);

/// Maximum number of service addresses with one socket per worker. Further addresses get a single
/// socket, so that a deployment of the design size stays within the usual file descriptor limits.
const MAX_MULTI_WORKER_ADDRESSES: usize = 64;

/// Sockets bound to one address, one per worker; cancelling `stop` ends their tasks.
#[derive(Debug)]
pub(crate) struct ServiceSocket {
    pub(crate) address: SocketAddr,
    workers: Vec<Arc<BatchSocket>>,
    stop: CancellationToken,
}

/// Bound service addresses, sorted.
#[derive(Debug, Default)]
pub(crate) struct ServiceSockets {
    entries: RwLock<Vec<ServiceSocket>>,
}

/// Context for starting the forwarding tasks of sockets.
#[derive(Clone, Debug)]
pub(crate) struct SocketContext {
    pub(crate) shared: Arc<Shared>,
    /// Data sockets, one per worker.
    pub(crate) data: Vec<Arc<BatchSocket>>,
    pub(crate) sockets: Arc<ServiceSockets>,
    pub(crate) tasks: TaskTracker,
}

impl ServiceSocket {
    /// Socket from which `worker` sends replies.
    pub(crate) fn of_worker(&self, worker: usize) -> &BatchSocket {
        &self.workers[worker % self.workers.len()]
    }
}

impl ServiceSockets {
    pub(crate) fn read(&self) -> RwLockReadGuard<'_, Vec<ServiceSocket>> {
        self.entries.read().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_bound(&self, address: SocketAddr) -> bool {
        let entries = self.read();
        let found = entries.binary_search_by_key(&address, |entry| entry.address);
        found.is_ok()
    }

    fn insert(&self, entry: ServiceSocket) {
        let mut entries = self.entries.write().unwrap_or_else(PoisonError::into_inner);
        if let Err(index) = entries.binary_search_by_key(&entry.address, |it| it.address) {
            entries.insert(index, entry);
        }
    }

    fn close(&self, addresses: &[SocketAddr]) {
        let mut entries = self.entries.write().unwrap_or_else(PoisonError::into_inner);
        entries.retain(|entry| {
            let is_closed = addresses.contains(&entry.address);
            if is_closed {
                log::info!("balancer: Service address {} closed.", entry.address);
                entry.stop.cancel();
            }
            !is_closed
        });
    }
}

impl SocketContext {
    /// Binds `address` and starts tasks that forward the packets received there.
    pub(crate) async fn open(&self, address: SocketAddr) -> std::io::Result<()> {
        let max_workers = if self.sockets.read().len() < MAX_MULTI_WORKER_ADDRESSES {
            MAX_WORKERS
        } else {
            1
        };
        let workers = bind_reuse_port(address, max_workers).await?;
        let stop = self.shared.stop.child_token();
        for (worker, socket) in workers.iter().enumerate() {
            let source = Source::Callers(address);
            self.spawn(worker, Arc::clone(socket), source, stop.clone());
        }
        self.sockets.insert(ServiceSocket {
            address,
            workers,
            stop,
        });
        Ok(())
    }

    /// Starts the tasks that forward the packets received at the data address.
    pub(crate) fn spawn_data_workers(&self) {
        for (worker, socket) in self.data.iter().enumerate() {
            let stop = self.shared.stop.clone();
            self.spawn(worker, Arc::clone(socket), Source::Data, stop);
        }
    }

    fn spawn(
        &self,
        worker: usize,
        socket: Arc<BatchSocket>,
        source: Source,
        stop: CancellationToken,
    ) {
        let task = ForwardTask {
            shared: Arc::clone(&self.shared),
            data: Arc::clone(&self.data[worker]),
            sockets: Arc::clone(&self.sockets),
            socket,
            worker,
            source,
        };
        self.tasks.spawn(task.run(stop));
    }

    /// Binds and closes addresses as the configured services change, until the balancer stops.
    pub(crate) async fn follow_services(self, control: ControlHandle) {
        let stop = self.shared.stop.clone();
        let mut is_complete = true;
        let mut previous = Vec::new();
        loop {
            let retry = async {
                if is_complete {
                    std::future::pending::<()>().await;
                }
                sleep(RETRY_INTERVAL).await;
            };
            tokio::select! {
                () = stop.cancelled() => return,
                () = self.shared.services_changed.notified() => {}
                () = retry => {}
            }
            let Some(wanted) = configured_addresses(&control).await else {
                return;
            };
            // The replica receives objects one by one, so an address from the startup settings is
            // closed only if the replica contained it before and no longer does.
            previous.retain(|address| wanted.binary_search(address).is_err());
            self.sockets.close(&previous);
            is_complete = self.bind_missing(&wanted).await;
            previous = wanted;
        }
    }

    /// Binds the missing addresses; returns whether every wanted address is bound.
    async fn bind_missing(&self, wanted: &[SocketAddr]) -> bool {
        let mut is_complete = true;
        for address in wanted {
            if self.sockets.is_bound(*address) {
                continue;
            }
            match self.open(*address).await {
                Ok(()) => log::info!("balancer: Service address {address} opened."),
                Err(error) => {
                    is_complete = false;
                    log::error!("balancer: Service address {address} not opened: {error}.");
                }
            }
        }
        is_complete
    }
}

/// Addresses of all configured services, sorted; `None` when the balancer has stopped.
async fn configured_addresses(control: &ControlHandle) -> Option<Vec<SocketAddr>> {
    let objects = control.objects().await?;
    let services = objects.iter().filter(|object| object.kind == SERVICE_KIND);
    let mut addresses: Vec<SocketAddr> = services
        .filter_map(|object| serde_json::from_slice::<Service>(&object.value).ok())
        .flat_map(|service| service.addresses)
        .collect();
    addresses.sort_unstable();
    addresses.dedup();
    Some(addresses)
}
