//! HTTP transfer of the configuration between balancers, which works without the platform store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use displaydoc::Display;
use gotham::helpers::http::Body;
use gotham::helpers::http::response::{create_empty_response, create_response};
use gotham::hyper::{Response, StatusCode};
use gotham::middleware::state::StateMiddleware;
use gotham::pipeline::{single_middleware, single_pipeline};
use gotham::router::Router;
use gotham::router::builder::{DefineSingleRoute, DrawRoutes, build_router};
use gotham::state::{FromState, State, StateData};
use hawthorntide_opaque::Configuration;
use reqwest::Client;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

const PATH: &str = "/configuration";

/// Timeout for fetching a configuration: ten times the time that a thousand routes take between two
/// failure domains.
const FETCH_TIMEOUT: Duration = Duration::from_millis(500);

/// Error of fetching the configuration of another balancer.
#[derive(Debug, Display, Error)]
pub(crate) enum ExchangeError {
    /// request failed: {0}
    Request(#[from] reqwest::Error),
}

pub(crate) trait ConfigurationSource: Send + Sync {
    /// Returns the configuration in force.
    fn configuration(&self) -> Option<Configuration>;
}

/// HTTP server that serves the configuration in force to other balancers; it stops when dropped.
#[derive(Debug)]
pub(crate) struct ConfigurationServer {
    task: JoinHandle<()>,
}

/// HTTP client that fetches the configuration from other balancers.
#[derive(Clone, Debug)]
pub(crate) struct ConfigurationClient {
    client: Client,
}

#[derive(Clone)]
struct HandlerState(Arc<dyn ConfigurationSource>);

impl StateData for HandlerState {}

// The configuration is replaced as a whole under its lock, so a panic cannot leave it inconsistent.
impl std::panic::RefUnwindSafe for HandlerState {}

impl ConfigurationServer {
    pub(crate) async fn bind(
        address: SocketAddr,
        source: Arc<dyn ConfigurationSource>,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let router = router(source);
        let task = tokio::spawn(async move {
            gotham::bind_server(listener, router, |stream| std::future::ready(Ok(stream))).await;
        });
        Ok(Self { task })
    }
}

impl Drop for ConfigurationServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl ConfigurationClient {
    pub(crate) fn open() -> Result<Self, ExchangeError> {
        // Fetches are rare, and an idle pooled connection may be dead.
        let builder = Client::builder().no_proxy().pool_max_idle_per_host(0);
        let client = builder.timeout(FETCH_TIMEOUT).build()?;
        Ok(Self { client })
    }

    /// Fetches the configuration in force at the balancer at `address`.
    pub(crate) async fn fetch(&self, address: SocketAddr) -> Result<Configuration, ExchangeError> {
        let request = self.client.get(format!("http://{address}{PATH}"));
        let response = request.send().await?.error_for_status()?;
        Ok(response.json().await?)
    }
}

fn router(source: Arc<dyn ConfigurationSource>) -> Router {
    let middleware = StateMiddleware::new(HandlerState(source));
    let (chain, pipelines) = single_pipeline(single_middleware(middleware));
    build_router(chain, pipelines, |route| route.get(PATH).to(respond))
}

fn respond(state: State) -> (State, Response<Body>) {
    let configuration = HandlerState::borrow_from(&state).0.configuration();
    let text = configuration.map(|it| serde_json::to_string(&it));
    let response = match text {
        Some(Ok(text)) => create_response(&state, StatusCode::OK, mime::APPLICATION_JSON, text),
        Some(Err(error)) => {
            log::error!("relay: Cannot encode the configuration: {error}.");
            create_empty_response(&state, StatusCode::INTERNAL_SERVER_ERROR)
        }
        None => create_empty_response(&state, StatusCode::NOT_FOUND),
    };
    (state, response)
}
