//! Routes in force and which service takes a new flow.

use std::net::SocketAddr;

use hawthorntide_routing::FlowKey;
use hawthorntide_types::{DurationMs, ServiceName, Version};
use serde::{Deserialize, Serialize};

/// Part of the flows of a route that a service takes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Backend {
    /// Service.
    pub service: ServiceName,
    /// Relative part of the new flows.
    pub weight: u32,
}

/// Address that callers use, and the services behind it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// Address and port that callers use.
    pub service_address: SocketAddr,
    /// Services that take new flows.
    pub backends: Vec<Backend>,
}

/// One version of the routes.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Configuration {
    /// Version that the operator gave it.
    pub version: Version,
    /// Routes, sorted by address.
    pub routes: Vec<Route>,
    /// Time without packets after which a flow may be forgotten.
    pub flow_idle_ms: DurationMs,
}

/// Routes in force; they never go back to an earlier version.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    configuration: Option<Configuration>,
}

impl Configuration {
    /// Creates a version of the routes in the order that searches need.
    pub fn new(version: Version, mut routes: Vec<Route>, flow_idle_ms: DurationMs) -> Self {
        routes.sort_by_key(|route| route.service_address);
        Self {
            version,
            routes,
            flow_idle_ms,
        }
    }
}

impl Route {
    /// Returns the service that takes a new flow; the same for each packet of the flow.
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

    /// Returns the services that may take a new flow: its own one, then the others of the route,
    /// which help out when that one has no room.
    pub fn services_of(&self, flow: &FlowKey) -> impl Iterator<Item = &ServiceName> {
        let own = self.service_of(flow);
        let others = self.backends.iter();
        let others = others
            .filter(|backend| backend.weight > 0)
            .map(|backend| &backend.service)
            .filter(move |service| Some(*service) != own);
        own.into_iter().chain(others)
    }
}

impl RouteTable {
    /// Takes `configuration` if it is newer than the one in force; returns whether it was.
    pub fn apply(&mut self, configuration: Configuration) -> bool {
        if self.version() >= configuration.version && self.configuration.is_some() {
            return false;
        }
        self.configuration = Some(configuration);
        true
    }

    /// Returns the version in force.
    pub fn version(&self) -> Version {
        let configuration = self.configuration.as_ref();
        configuration.map_or(Version::NONE, |it| it.version)
    }

    /// Returns the configuration in force.
    pub const fn configuration(&self) -> Option<&Configuration> {
        self.configuration.as_ref()
    }

    /// Returns the route of an address.
    pub fn find(&self, service_address: SocketAddr) -> Option<&Route> {
        let routes = &self.configuration.as_ref()?.routes;
        let index = routes.binary_search_by_key(&service_address, |route| route.service_address);
        Some(&routes[index.ok()?])
    }
}
