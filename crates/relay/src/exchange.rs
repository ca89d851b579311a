//! HTTP transfer of the configuration between balancers, which works without the platform store.

use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use displaydoc::Display;
use flate2::Compression;
use flate2::write::GzEncoder;
use gotham::helpers::http::Body;
use gotham::helpers::http::response::{create_empty_response, create_response};
use gotham::hyper::header::{ACCEPT_ENCODING, CONTENT_ENCODING, HeaderMap, HeaderValue};
use gotham::hyper::{Response, StatusCode};
use gotham::middleware::state::StateMiddleware;
use gotham::pipeline::{single_middleware, single_pipeline};
use gotham::router::Router;
use gotham::router::builder::{DefineSingleRoute, DrawRoutes, build_router};
use gotham::state::{FromState, State, StateData};
use hawthorntide_opaque::Configuration;
use hawthorntide_types::ConfigurationVersion;
use reqwest::Client;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

const PATH: &str = "/configuration";

/// Name of the content coding.
const GZIP: &str = "gzip";

/// Timeout for the connection, for the start of the answer, and between two parts of it.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout for fetching a configuration as a whole. After two failed fetches a balancer asks the store, all
/// within the three seconds in which a change has to be in force.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);

/// Error of fetching the configuration of another balancer.
#[derive(Debug, Display, Error)]
pub(crate) enum ExchangeError {
    /// request failed: {0}
    Request(#[from] reqwest::Error),
}

pub(crate) trait ConfigurationSource: Send + Sync {
    /// Returns the version in force.
    fn version(&self) -> ConfigurationVersion;
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
struct HandlerState {
    source: Arc<dyn ConfigurationSource>,
    /// Several balancers fetch a new version at the same time, so it is encoded only once. Locked before
    /// the state of the source.
    encoded: Arc<Mutex<Option<Arc<EncodedConfiguration>>>>,
}

impl StateData for HandlerState {}

// The configuration is replaced as a whole under its lock, so a panic cannot leave it inconsistent.
impl std::panic::RefUnwindSafe for HandlerState {}

/// Configuration as JSON.
#[derive(Debug)]
struct EncodedConfiguration {
    version: ConfigurationVersion,
    plain: Vec<u8>,
    /// Compressed with gzip: routes repeat names and addresses, and the links of small VMs are slow.
    compressed: Vec<u8>,
}

impl HandlerState {
    /// Returns the configuration in force, encoded; `None` if there is none or it cannot be encoded.
    fn encoded(&self) -> Option<Arc<EncodedConfiguration>> {
        let mut encoded = self.encoded.lock().unwrap_or_else(PoisonError::into_inner);
        let version = self.source.version();
        if let Some(encoded) = encoded.as_ref().filter(|it| it.version == version) {
            return Some(Arc::clone(encoded));
        }
        let configuration = self.source.configuration()?;
        match EncodedConfiguration::new(&configuration) {
            Ok(new) => *encoded = Some(Arc::new(new)),
            Err(error) => {
                log::error!("relay: Cannot encode the configuration: {error}.");
                return None;
            }
        }
        encoded.clone()
    }
}

impl EncodedConfiguration {
    fn new(configuration: &Configuration) -> std::io::Result<Self> {
        let plain = serde_json::to_vec(configuration)?;
        let mut encoder = GzEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(&plain)?;
        Ok(Self {
            version: configuration.version,
            compressed: encoder.finish()?,
            plain,
        })
    }
}

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
        let builder = Client::builder()
            .no_proxy()
            .gzip(true)
            .pool_max_idle_per_host(0);
        let builder = builder
            .connect_timeout(SILENCE_TIMEOUT)
            .read_timeout(SILENCE_TIMEOUT);
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
    let middleware = StateMiddleware::new(HandlerState {
        source,
        encoded: Arc::default(),
    });
    let (chain, pipelines) = single_pipeline(single_middleware(middleware));
    build_router(chain, pipelines, |route| route.get(PATH).to(respond))
}

fn respond(state: State) -> (State, Response<Body>) {
    let Some(encoded) = HandlerState::borrow_from(&state).encoded() else {
        let response = create_empty_response(&state, StatusCode::NOT_FOUND);
        return (state, response);
    };
    let is_gzip_accepted = HeaderMap::borrow_from(&state)
        .get(ACCEPT_ENCODING)
        .and_then(|value| value.to_str().ok())
        .is_some_and(|codings| codings.contains(GZIP));
    let json = mime::APPLICATION_JSON;
    // Balancers of earlier builds accept no compression.
    let response = if is_gzip_accepted {
        let body = encoded.compressed.clone();
        let mut response = create_response(&state, StatusCode::OK, json, body);
        let headers = response.headers_mut();
        headers.insert(CONTENT_ENCODING, HeaderValue::from_static(GZIP));
        response
    } else {
        create_response(&state, StatusCode::OK, json, encoded.plain.clone())
    };
    (state, response)
}
