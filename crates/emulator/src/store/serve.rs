//! Connections of the store: accepted while it is up, all closed when it goes down.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::pin::pin;
use std::sync::Arc;

use gotham::hyper::Request;
use gotham::hyper::body::Incoming;
use gotham::hyper::server::conn::http1;
use gotham::hyper::service::service_fn;
use gotham::hyper_util::rt::TokioIo;
use gotham::router::Router;
use gotham::service::call_handler;
use gotham::state::{State, StateData};
use hawthorntide_store::ERA_HEADER;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::api::{self, StoreState};
use super::state::Shared;

/// Length of the kernel's accept queue.
const LISTEN_BACKLOG: u32 = 1024;

/// Bound socket of the store. It stays bound while the store is down, so that no other process gets
/// the port.
#[derive(Debug)]
pub(super) struct Listener {
    address: SocketAddr,
    socket: TcpSocket,
}

/// Closes the connection of a request without sending a response.
#[derive(Clone, Debug, Default)]
pub(super) struct ConnectionCloser(Arc<Notify>);

impl ConnectionCloser {
    /// Must be called before the handler returns, so that the response is not written.
    pub(super) fn close(&self) {
        self.0.notify_one();
    }
}

impl StateData for ConnectionCloser {}

impl Listener {
    pub(super) fn bind(address: SocketAddr) -> std::io::Result<Self> {
        let socket = bind_socket(address)?;
        let address = socket.local_addr()?;
        Ok(Self { address, socket })
    }

    pub(super) const fn address(&self) -> SocketAddr {
        self.address
    }
}

/// Serves the API and stops listening for as long as `StoreFaults::is_down` is set.
pub(super) async fn run(listener: Listener, shared: Arc<Shared>) {
    let Listener {
        address,
        mut socket,
    } = listener;
    let router = api::router();
    let mut faults = shared.watch_faults();
    loop {
        if faults.wait_for(|faults| !faults.is_down).await.is_err() {
            return;
        }
        let Ok(listener) = socket.listen(LISTEN_BACKLOG) else {
            log::error!("emulator: store cannot listen on {address}");
            return;
        };
        let mut connections = JoinSet::new();
        tokio::select! {
            () = accept(&listener, &router, &shared, &mut connections) => {}
            _ = faults.wait_for(|faults| faults.is_down) => {}
        }
        connections.shutdown().await;
        drop(listener);
        socket = match bind_socket(address) {
            Ok(socket) => socket,
            Err(error) => {
                log::error!("emulator: store cannot bind {address}: {error}");
                return;
            }
        };
    }
}

fn bind_socket(address: SocketAddr) -> std::io::Result<TcpSocket> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

async fn accept(
    listener: &TcpListener,
    router: &Router,
    shared: &Arc<Shared>,
    connections: &mut JoinSet<()>,
) {
    loop {
        while connections.try_join_next().is_some() {}
        match listener.accept().await {
            Ok((stream, peer)) => {
                let state = StoreState(Arc::clone(shared));
                connections.spawn(serve(stream, peer, router.clone(), state));
            }
            Err(error) => log::warn!("emulator: store cannot accept a connection: {error}"),
        }
    }
}

async fn serve(stream: TcpStream, peer: SocketAddr, router: Router, store: StoreState) {
    let closer = ConnectionCloser::default();
    let handler = Arc::new(router);
    let mut silence = store.0.watch_silence();
    let service = service_fn(|request: Request<Incoming>| {
        let handler = Arc::clone(&handler);
        let (closer, store) = (closer.clone(), store.clone());
        // Spawned, so that a delayed write takes effect even if the client disconnects first.
        let call = tokio::spawn(async move {
            let shared = Arc::clone(&store.0);
            sleep(shared.faults().delay_ms.into()).await;
            let mut state = State::from_request(request, peer);
            state.put(closer);
            state.put(store);
            let response = call_handler(handler, AssertUnwindSafe(state)).await;
            (response, shared.era_header())
        });
        async move {
            let (response, era) = call.await.map_or((None, None), |(it, era)| (it.ok(), era));
            let mut response = response.unwrap_or_default();
            if let Some(era) = era.and_then(|era| era.parse().ok()) {
                response.headers_mut().insert(ERA_HEADER, era);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let _ = stream.set_nodelay(true);
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    tokio::select! {
        // The close request is polled first, because the response that must not be sent becomes ready at
        // the same moment.
        biased;
        () = closer.0.notified() => {}
        // The connection stays open and is not polled any more.
        Ok(()) = silence.changed() => std::future::pending().await,
        _ = &mut connection => {}
    }
}
