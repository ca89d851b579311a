//! Connections of the administration API and their limits.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::time::Duration;

use gotham::handler::IntoBody;
use gotham::helpers::http::Body;
use gotham::hyper::body::{Body as _, Incoming};
use gotham::hyper::header::{CONTENT_TYPE, HeaderValue};
use gotham::hyper::server::conn::http1;
use gotham::hyper::service::service_fn;
use gotham::hyper::{Request, Response, StatusCode};
use gotham::hyper_util::rt::{TokioIo, TokioTimer};
use gotham::router::Router;
use gotham::service::call_handler;
use gotham::state::State;
use hawthorntide_configuration::Team;
use hawthorntide_types::ResultCode;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{sleep, timeout};

use crate::limits::AdminLimits;
use crate::operations::Operations;
use crate::request::EdgeData;
use crate::response::{Answer, Refusal};
use crate::routes;

/// Pause after a failure to accept, which is mostly a lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Options of the administration API.
#[derive(Clone, Debug, Default)]
pub struct AdminOptions {
    /// Teams that may use the API.
    pub teams: Vec<Team>,
    /// Limits.
    pub limits: AdminLimits,
}

/// What the routes share.
pub(crate) struct Edge {
    pub(crate) operations: Arc<dyn Operations>,
    pub(crate) teams: Vec<Team>,
    pub(crate) limits: AdminLimits,
}

/// Running administration API; it stops when it is dropped.
#[derive(Debug)]
pub struct AdminServer {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl AdminServer {
    /// Binds the API to `address` and serves it.
    pub async fn bind(
        address: SocketAddr,
        options: AdminOptions,
        operations: Arc<dyn Operations>,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let edge = Arc::new(Edge {
            operations,
            teams: options.teams,
            limits: options.limits,
        });
        let task = tokio::spawn(accept(listener, edge));
        log::info!("admin: Listening at {address}.");
        Ok(Self { address, task })
    }

    /// Returns the address at which the API is served.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for AdminServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, edge: Arc<Edge>) {
    let router = Arc::new(routes::router());
    let permits = Arc::new(Semaphore::new(edge.limits.open_connections));
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("admin: Cannot accept a connection: {error}.");
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            metrics::counter!("hawthorntide_admin_connections_refused_total").increment(1);
            log::warn!("admin: Connection from {peer} refused, too many are open.");
            continue;
        };
        let (router, edge) = (Arc::clone(&router), Arc::clone(&edge));
        connections.spawn(serve(stream, peer, router, edge, permit));
    }
}

async fn serve(
    stream: TcpStream,
    peer: SocketAddr,
    router: Arc<Router>,
    edge: Arc<Edge>,
    _permit: OwnedSemaphorePermit,
) {
    let limits = edge.limits;
    let service = service_fn(|request: Request<Incoming>| {
        let (router, edge) = (Arc::clone(&router), Arc::clone(&edge));
        async move { Ok::<_, Infallible>(answer(request, peer, router, edge).await) }
    });
    let _ = stream.set_nodelay(true);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_time)
        .max_headers(limits.headers)
        .max_buf_size(limits.header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    if timeout(limits.connection_time, connection).await.is_err() {
        log::debug!("admin: Connection from {peer} closed at the end of its time.");
    }
}

/// Smallest buffer that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8192;

async fn answer(
    mut request: Request<Incoming>,
    peer: SocketAddr,
    router: Arc<Router>,
    edge: Arc<Edge>,
) -> Response<Body> {
    // The router panics when this header is not UTF-8.
    request.headers_mut().remove("x-request-id");
    let mut state = State::from_request(request, peer);
    state.put(EdgeData(edge));
    let response = call_handler(router, AssertUnwindSafe(state)).await;
    let response = response.unwrap_or_else(|_| {
        let mut response = Response::default();
        *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        response
    });
    let response = number(response);
    let status = response.status().as_u16().to_string();
    metrics::counter!("hawthorntide_admin_requests_total", "status" => status).increment(1);
    response
}

/// Gives the errors of the router the body that all errors have.
fn number(mut response: Response<Body>) -> Response<Body> {
    let status = response.status();
    let is_bare = response.body().size_hint().exact() == Some(0);
    if !is_bare || !(status.is_client_error() || status.is_server_error()) {
        return response;
    }
    let refusal = match status {
        StatusCode::NOT_FOUND => Refusal::new(ResultCode::NotFound),
        StatusCode::METHOD_NOT_ALLOWED => Refusal::new(ResultCode::MethodNotAllowed),
        StatusCode::BAD_REQUEST => Refusal::field("query", "an unknown or malformed parameter"),
        _ => Refusal::new(ResultCode::Failure),
    };
    let answer = Answer::from(refusal.status(status));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.remove("content-length");
    *response.body_mut() = answer.text.into_body();
    response
}
