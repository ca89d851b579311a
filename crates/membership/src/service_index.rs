//! Index of the endpoints of each service.

use hawthorntide_types::{EndpointId, ServiceId};

/// Sorted pairs of service and endpoint.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServiceIndex {
    pairs: Vec<(ServiceId, EndpointId)>,
}

impl ServiceIndex {
    pub(crate) fn insert(&mut self, service: ServiceId, endpoint: EndpointId) {
        if let Err(index) = self.pairs.binary_search(&(service, endpoint)) {
            self.pairs.insert(index, (service, endpoint));
        }
    }

    pub(crate) fn remove(&mut self, service: ServiceId, endpoint: EndpointId) {
        if let Ok(index) = self.pairs.binary_search(&(service, endpoint)) {
            self.pairs.remove(index);
        }
    }

    pub(crate) fn of(&self, service: ServiceId) -> impl Iterator<Item = EndpointId> {
        let start = self.pairs.partition_point(|pair| pair.0 < service);
        self.pairs[start..]
            .iter()
            .take_while(move |pair| pair.0 == service)
            .map(|pair| pair.1)
    }
}
