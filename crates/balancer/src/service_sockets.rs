//! Sockets at the service addresses; they follow the services while the balancer runs.

use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLock, RwLockReadGuard};
use std::time::Duration;

use hawthorntide_configuration::SERVICE_KIND;
use hawthorntide_types::Service;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::balancer::Shared;
use crate::batch::{BatchSocket, MAX_WORKERS, bind_shared};
use crate::control::ControlHandle;
use crate::forward::{Receiver, Source};

/// Time after which an address that could not be bound is tried again.
const RETRY: Duration = Duration::from_secs(5);

/// Service addresses with a socket for each worker; further ones have one socket, so that the design
/// size stays within usual limits on descriptors.
const MAX_SHARED_ADDRESSES: usize = 64;

/// Bound sockets of one address, one for each worker; their tasks end with the token.
#[derive(Debug)]
pub(crate) struct ServiceSocket {
    pub(crate) address: SocketAddr,
    workers: Vec<Arc<BatchSocket>>,
    stop: CancellationToken,
}

/// Bound sockets in ascending order of addresses.
#[derive(Debug, Default)]
pub(crate) struct ServiceSockets {
    entries: RwLock<Vec<ServiceSocket>>,
}

/// What the tasks of the sockets need.
#[derive(Clone, Debug)]
pub(crate) struct SocketContext {
    pub(crate) shared: Arc<Shared>,
    /// Data sockets, one for each worker.
    pub(crate) data: Vec<Arc<BatchSocket>>,
    pub(crate) sockets: Arc<ServiceSockets>,
    pub(crate) tasks: TaskTracker,
}

impl ServiceSocket {
    /// Returns the socket from which `worker` sends replies.
    pub(crate) fn of_worker(&self, worker: usize) -> &BatchSocket {
        &self.workers[worker % self.workers.len()]
    }
}

impl ServiceSockets {
    /// Returns the sockets in ascending order of addresses.
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

    /// Closes the sockets at `addresses`.
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
    /// Binds `address` and forwards what arrives there.
    pub(crate) async fn open(&self, address: SocketAddr) -> std::io::Result<()> {
        let max_workers = if self.sockets.read().len() < MAX_SHARED_ADDRESSES {
            MAX_WORKERS
        } else {
            1
        };
        let workers = bind_shared(address, max_workers).await?;
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

    /// Forwards what arrives at the data sockets.
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
        let receiver = Receiver {
            shared: Arc::clone(&self.shared),
            data: Arc::clone(&self.data[worker]),
            sockets: Arc::clone(&self.sockets),
            socket,
            worker,
            source,
        };
        self.tasks.spawn(receiver.run(stop));
    }

    /// Binds and closes addresses as services change, until the balancer stops.
    pub(crate) async fn follow(self, control: ControlHandle) {
        let stop = self.shared.stop.clone();
        let mut is_complete = true;
        let mut known = Vec::new();
        loop {
            let retry = async {
                if is_complete {
                    std::future::pending::<()>().await;
                }
                sleep(RETRY).await;
            };
            tokio::select! {
                () = stop.cancelled() => return,
                () = self.shared.services_changed.notified() => {}
                () = retry => {}
            }
            let Some(wanted) = wanted(&control).await else {
                return;
            };
            // Addresses from the start are closed only after the replica has named them, since
            // the replica fills object by object.
            known.retain(|address| wanted.binary_search(address).is_err());
            self.sockets.close(&known);
            is_complete = self.update(&wanted).await;
            known = wanted;
        }
    }

    /// Returns whether every wanted address is bound.
    async fn update(&self, wanted: &[SocketAddr]) -> bool {
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

/// Returns the addresses of all services in ascending order.
async fn wanted(control: &ControlHandle) -> Option<Vec<SocketAddr>> {
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
