//! Routes from service addresses to services, and selection of the service for a flow.

use std::net::SocketAddr;

use hawthorntide_routing::FlowKey;
use hawthorntide_types::{ConfigurationVersion, DurationMs, ServiceName};
use serde::{Deserialize, Serialize};

use crate::class::RequestClass;

/// Service of a route, with its share of the flows.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Backend {
    pub service: ServiceName,
    /// Share of the new flows relative to the other backends of the route.
    pub weight: u32,
}

/// Address that callers use, and the services behind it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// Address and port that callers use.
    pub service_address: SocketAddr,
    pub backends: Vec<Backend>,
    pub class: RequestClass,
}

/// Limit that an operator sets for the cold upstreams of a service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ColdStart {
    pub service: ServiceName,
    /// New flows per second that a cold upstream bears; above 0.
    pub rate_per_s: f64,
}

/// Versioned set of routes.
///
/// One that lacks a field, as another build may serve it, is not used: an unknown route would be refused
/// although it may be among those that could not be read.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Configuration {
    /// Version set by the operator.
    pub version: ConfigurationVersion,
    /// Routes, sorted by service address.
    pub routes: Vec<Route>,
    /// Idle timeout: the state of a flow may be removed after this time without packets.
    pub flow_idle_ms: DurationMs,
    /// The operator's configuration has routes that could not be read.
    pub has_unreadable_routes: bool,
    /// Services with a limit for cold upstreams, sorted.
    pub cold_starts: Vec<ColdStart>,
}

/// Routes in force; their version never decreases.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    configuration: Option<Configuration>,
}

impl Configuration {
    /// Sorts the routes by service address, as `RouteTable::find` requires.
    pub fn new(
        version: ConfigurationVersion,
        mut routes: Vec<Route>,
        flow_idle_ms: DurationMs,
    ) -> Self {
        routes.sort_by_key(|route| route.service_address);
        Self {
            version,
            routes,
            flow_idle_ms,
            has_unreadable_routes: false,
            cold_starts: Vec::new(),
        }
    }

    /// Returns the new flows per second that a cold upstream of the service bears, if they are limited.
    pub fn cold_rate_per_s(&self, service: &ServiceName) -> Option<f64> {
        let index = self
            .cold_starts
            .binary_search_by(|it| it.service.cmp(service));
        Some(self.cold_starts[index.ok()?].rate_per_s)
    }
}

impl Route {
    /// Selects the service of a flow by weight and flow hash: the same for each packet of the flow.
    pub fn service_of(&self, flow: &FlowKey) -> Option<&ServiceName> {
        let total: u64 = self.backends.iter().map(|it| u64::from(it.weight)).sum();
        if total == 0 {
            return None;
        }
        let mut point = flow.hash() % total;
        for backend in &self.backends {
            let weight = u64::from(backend.weight);
            if point < weight {
                return Some(&backend.service);
            }
            point -= weight;
        }
        None
    }

    /// Returns the services that may take a new flow: the selected one, then the others of the route
    /// as fallback while that one has no capacity.
    pub fn services_of(&self, flow: &FlowKey) -> impl Iterator<Item = &ServiceName> {
        let selected = self.service_of(flow);
        let others = self.backends.iter();
        let others = others
            .filter(|backend| backend.weight > 0)
            .map(|backend| &backend.service)
            .filter(move |service| Some(*service) != selected);
        selected.into_iter().chain(others)
    }
}

impl RouteTable {
    /// Applies `configuration` if it is newer than the one in force; returns whether it is.
    pub fn apply(&mut self, configuration: Configuration) -> bool {
        if self.version() >= configuration.version && self.configuration.is_some() {
            return false;
        }
        self.configuration = Some(configuration);
        true
    }

    /// Returns the version in force, or `ConfigurationVersion::NONE`.
    pub fn version(&self) -> ConfigurationVersion {
        let configuration = self.configuration.as_ref();
        configuration.map_or(ConfigurationVersion::NONE, |it| it.version)
    }

    pub const fn configuration(&self) -> Option<&Configuration> {
        self.configuration.as_ref()
    }

    /// Returns whether a service address without a route may have one that could not be read.
    pub fn has_unreadable_routes(&self) -> bool {
        let configuration = self.configuration.as_ref();
        configuration.is_some_and(|it| it.has_unreadable_routes)
    }

    pub fn find(&self, service_address: SocketAddr) -> Option<&Route> {
        let routes = &self.configuration.as_ref()?.routes;
        let index = routes.binary_search_by_key(&service_address, |route| route.service_address);
        Some(&routes[index.ok()?])
    }
}
