//! Sockets at the service addresses; they follow the services while the balancer runs.

use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use hawthorntide_configuration::SERVICE_KIND;
use hawthorntide_types::Service;
use tokio::net::UdpSocket;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::balancer::Shared;
use crate::control::ControlHandle;
use crate::forward;

/// Time after which an address that could not be bound is tried again.
const RETRY: Duration = Duration::from_secs(5);

/// Bound socket; its task ends with the token.
#[derive(Debug)]
struct ServiceSocket {
    address: SocketAddr,
    socket: Arc<UdpSocket>,
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
    pub(crate) data: Arc<UdpSocket>,
    pub(crate) sockets: Arc<ServiceSockets>,
    pub(crate) tasks: TaskTracker,
}

impl ServiceSockets {
    /// Returns the socket that is bound to `address`.
    pub(crate) fn find(&self, address: SocketAddr) -> Option<Arc<UdpSocket>> {
        let entries = self.entries.read().unwrap_or_else(PoisonError::into_inner);
        let index = entries.binary_search_by_key(&address, |entry| entry.address);
        Some(Arc::clone(&entries.get(index.ok()?)?.socket))
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
        let socket = Arc::new(UdpSocket::bind(address).await?);
        let stop = self.shared.stop.child_token();
        self.sockets.insert(ServiceSocket {
            address,
            socket: Arc::clone(&socket),
            stop: stop.clone(),
        });
        let run = forward::from_callers(
            Arc::clone(&self.shared),
            address,
            socket,
            Arc::clone(&self.data),
            stop,
        );
        self.tasks.spawn(run);
        Ok(())
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
            if self.sockets.find(*address).is_some() {
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
