//! HTTP server of the administration API and its connection limits.

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
use crate::request::ContextData;
use crate::response::{ApiError, ApiResponse};
use crate::routes;

/// Pause after `accept` fails, usually because file descriptors are exhausted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Options of the administration API.
#[derive(Clone, Debug, Default)]
pub struct AdminOptions {
    /// Teams that may use the API.
    pub teams: Vec<Team>,
    pub limits: AdminLimits,
}

/// State shared by all requests.
pub(crate) struct ApiContext {
    pub(crate) operations: Arc<dyn Operations>,
    pub(crate) teams: Vec<Team>,
    pub(crate) limits: AdminLimits,
}

/// Running server of the administration API; dropping it stops the server.
#[derive(Debug)]
pub struct AdminServer {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl AdminServer {
    /// Binds `address` and serves the API in a background task.
    pub async fn bind(
        address: SocketAddr,
        options: AdminOptions,
        operations: Arc<dyn Operations>,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let context = Arc::new(ApiContext {
            operations,
            teams: options.teams,
            limits: options.limits,
        });
        let task = tokio::spawn(accept_connections(listener, context));
        log::info!("admin: Listening at {address}.");
        Ok(Self { address, task })
    }

    /// Returns the bound address, with the port chosen by the system if port 0 was given.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for AdminServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept_connections(listener: TcpListener, context: Arc<ApiContext>) {
    let router = Arc::new(routes::router());
    let permits = Arc::new(Semaphore::new(context.limits.max_open_connections));
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
            log::warn!("admin: Connection from {peer} refused: too many open connections.");
            continue;
        };
        let (router, context) = (Arc::clone(&router), Arc::clone(&context));
        connections.spawn(serve_connection(stream, peer, router, context, permit));
    }
}

async fn serve_connection(
    stream: TcpStream,
    peer: SocketAddr,
    router: Arc<Router>,
    context: Arc<ApiContext>,
    _permit: OwnedSemaphorePermit,
) {
    let limits = context.limits;
    let service = service_fn(|request: Request<Incoming>| {
        let (router, context) = (Arc::clone(&router), Arc::clone(&context));
        async move { Ok::<_, Infallible>(handle_request(request, peer, router, context).await) }
    });
    let _ = stream.set_nodelay(true);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_headers(limits.max_headers)
        .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    if timeout(limits.max_connection_age, connection)
        .await
        .is_err()
    {
        log::debug!("admin: Connection from {peer} closed: maximum age reached.");
    }
}

/// Smallest buffer size that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8192;

async fn handle_request(
    mut request: Request<Incoming>,
    peer: SocketAddr,
    router: Arc<Router>,
    context: Arc<ApiContext>,
) -> Response<Body> {
    // The router panics when this header is not UTF-8.
    request.headers_mut().remove("x-request-id");
    let mut state = State::from_request(request, peer);
    state.put(ContextData(context));
    let response = call_handler(router, AssertUnwindSafe(state)).await;
    let response = response.unwrap_or_else(|_| {
        let mut response = Response::default();
        *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        response
    });
    let response = add_error_body(response);
    let status = response.status().as_u16().to_string();
    metrics::counter!("hawthorntide_admin_requests_total", "status" => status).increment(1);
    response
}

/// Adds an error body to error responses that the router creates without a body.
fn add_error_body(mut response: Response<Body>) -> Response<Body> {
    let status = response.status();
    let has_empty_body = response.body().size_hint().exact() == Some(0);
    if !has_empty_body || !(status.is_client_error() || status.is_server_error()) {
        return response;
    }
    let error = match status {
        StatusCode::NOT_FOUND => ApiError::new(ResultCode::NotFound),
        StatusCode::METHOD_NOT_ALLOWED => ApiError::new(ResultCode::MethodNotAllowed),
        StatusCode::BAD_REQUEST => ApiError::field("query", "unknown or malformed parameter"),
        _ => ApiError::new(ResultCode::Failure),
    };
    let error_response = ApiResponse::from(error.with_status(status));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.remove("content-length");
    *response.body_mut() = error_response.text.into_body();
    response
}
