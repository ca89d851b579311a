//! Configuration from one balancer to another, past a platform store that turns one of them away.

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

/// Path of the configuration in force.
const PATH: &str = "/configuration";

/// Longest time for one configuration: ten times what a thousand routes take between two failure
/// domains.
const FETCH_TIME: Duration = Duration::from_millis(500);

/// Failure to get the configuration of another balancer.
#[derive(Debug, Display, Error)]
pub(crate) enum ExchangeError {
    /// the balancer cannot be asked: {0}
    Call(#[from] reqwest::Error),
}

/// What a balancer shows to others.
pub(crate) trait ConfigurationSource: Send + Sync {
    /// Returns the configuration in force.
    fn configuration(&self) -> Option<Configuration>;
}

/// Running edge that shows the configuration in force; it stops when it is dropped.
#[derive(Debug)]
pub(crate) struct ConfigurationEdge {
    task: JoinHandle<()>,
}

/// Asks other balancers for their configuration.
#[derive(Clone, Debug)]
pub(crate) struct ConfigurationClient {
    client: Client,
}

#[derive(Clone)]
struct Shared(Arc<dyn ConfigurationSource>);

impl StateData for Shared {}

// A configuration is replaced as a whole under its lock.
impl std::panic::RefUnwindSafe for Shared {}

impl ConfigurationEdge {
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

impl Drop for ConfigurationEdge {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl ConfigurationClient {
    pub(crate) fn open() -> Result<Self, ExchangeError> {
        // Fetches are rare, and a kept connection may have gone silent.
        let builder = Client::builder().no_proxy().pool_max_idle_per_host(0);
        let client = builder.timeout(FETCH_TIME).build()?;
        Ok(Self { client })
    }

    /// Returns the configuration in force at the balancer with `address`.
    pub(crate) async fn fetch(&self, address: SocketAddr) -> Result<Configuration, ExchangeError> {
        let call = self.client.get(format!("http://{address}{PATH}"));
        let answer = call.send().await?.error_for_status()?;
        Ok(answer.json().await?)
    }
}

fn router(source: Arc<dyn ConfigurationSource>) -> Router {
    let middleware = StateMiddleware::new(Shared(source));
    let (chain, pipelines) = single_pipeline(single_middleware(middleware));
    build_router(chain, pipelines, |route| route.get(PATH).to(show))
}

fn show(state: State) -> (State, Response<Body>) {
    let configuration = Shared::borrow_from(&state).0.configuration();
    let text = configuration.map(|it| serde_json::to_string(&it));
    let response = match text {
        Some(Ok(text)) => create_response(&state, StatusCode::OK, mime::APPLICATION_JSON, text),
        Some(Err(error)) => {
            log::error!("relay: Configuration not encoded: {error}.");
            create_empty_response(&state, StatusCode::INTERNAL_SERVER_ERROR)
        }
        None => create_empty_response(&state, StatusCode::NOT_FOUND),
    };
    (state, response)
}
