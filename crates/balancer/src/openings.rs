//! Rate limits on opening packets, derived from the profiles of the services.

use hawthorntide_routing::OpeningRateLimiter;
use hawthorntide_types::{
    Profile, ProfileName, RatePerSecond, ResultCode, Service, ServiceId, TimeMs,
};

/// Opening packets per second that one balancer forwards for all services. Agents answer them with
/// handshakes, which cost far more than forwarding.
const TOTAL_RATE: RatePerSecond = RatePerSecond(50_000);

/// Limit of a service whose profile has not been received.
const DEFAULT_LIMIT: RatePerSecond = RatePerSecond(20_000);

/// Limiter of opening packets, with the services and profiles from which its limits are derived.
#[derive(Debug)]
pub(crate) struct ServiceOpeningLimits {
    limiter: OpeningRateLimiter,
    services: Vec<(ServiceId, ProfileName)>,
    limits: Vec<(ProfileName, RatePerSecond)>,
}

impl ServiceOpeningLimits {
    pub(crate) fn new() -> Self {
        Self {
            limiter: OpeningRateLimiter::new(TOTAL_RATE),
            services: Vec::new(),
            limits: Vec::new(),
        }
    }

    pub(crate) fn admit(&mut self, now: TimeMs, service: ServiceId) -> Result<(), ResultCode> {
        self.limiter.admit(now, service)
    }

    pub(crate) fn set_service(&mut self, service: &Service) {
        let id = service.id();
        let entry = (id, service.profile.clone());
        match self.services.binary_search_by_key(&id, |entry| entry.0) {
            Ok(index) => self.services[index] = entry,
            Err(index) => self.services.insert(index, entry),
        }
        self.limiter.set_limit(id, self.limit_of(&service.profile));
    }

    pub(crate) fn remove_service(&mut self, id: ServiceId) {
        if let Ok(index) = self.services.binary_search_by_key(&id, |entry| entry.0) {
            self.services.remove(index);
        }
        self.limiter.remove_service(id);
    }

    /// Sets the limit of all services that use `profile` to the sum of the new-flow rates of all
    /// its kinds of work in the calm state, because a balancer cannot distinguish the kinds before
    /// the handshake.
    pub(crate) fn set_profile(&mut self, profile: &Profile) {
        let rates = profile
            .work
            .iter()
            .map(|work| work.calm.new_flows_per_second);
        let limit = RatePerSecond(rates.fold(0, |sum, rate| sum.saturating_add(rate.get())));
        let entry = (profile.name.clone(), limit);
        match self
            .limits
            .binary_search_by(|entry| entry.0.cmp(&profile.name))
        {
            Ok(index) => self.limits[index] = entry,
            Err(index) => self.limits.insert(index, entry),
        }
        for (id, name) in &self.services {
            if *name == profile.name {
                self.limiter.set_limit(*id, limit);
            }
        }
    }

    fn limit_of(&self, profile: &ProfileName) -> RatePerSecond {
        let index = self.limits.binary_search_by(|entry| entry.0.cmp(profile));
        index.map_or(DEFAULT_LIMIT, |index| self.limits[index].1)
    }
}
