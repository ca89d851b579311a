//! Evacuates failure domains, and checks where flows open meanwhile and afterwards.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hawthorntide_standins::{Caller, Upstream};

use crate::callers::FLOOD;
use crate::deployment::{AgentVm, FAILURE_DOMAINS, balancer_domain, domain_name};
use crate::soak::{Run, misleading_upstream_of, pause_of, store_path};

/// An evacuation must be in force this long after the store acknowledged it, and new flows must return
/// this long after it ended.
const EVACUATION_TIMEOUT: Duration = Duration::from_secs(5);

/// Flows that are opened in search of one in a failure domain whose evacuation has ended. The balancers
/// prefer the agents of their own failure domain, and loaded agents get a share of the new flows.
const RETURN_FLOWS: usize = 30;

/// State of a failure domain.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) enum DomainState {
    /// New flows may open.
    #[default]
    Open,
    Evacuated {
        acknowledged_at: Instant,
        /// No flow may open from here on. An evacuation that is known remains in force without the store.
        in_force_from: Option<Instant>,
    },
    /// The evacuation ended, and no flow has opened since new flows must have returned.
    Returning { ended_at: Instant },
}

impl DomainState {
    pub(crate) const fn is_open(&self) -> bool {
        matches!(self, Self::Open)
    }

    pub(crate) const fn is_evacuated(&self) -> bool {
        matches!(self, Self::Evacuated { .. })
    }

    /// The store has acknowledged the entry; one that exists already stays as it is.
    fn begin(&mut self) {
        if !self.is_evacuated() {
            *self = Self::Evacuated {
                acknowledged_at: Instant::now(),
                in_force_from: None,
            };
        }
    }

    fn end(&mut self) {
        if self.is_evacuated() {
            *self = Self::Returning {
                ended_at: Instant::now(),
            };
        }
    }

    /// Puts the evacuation in force if it is older than its time bound, and returns whether it did. Called
    /// while the store and a balancer that it serves are undisturbed.
    fn confirm(&mut self) -> bool {
        if let Self::Evacuated {
            acknowledged_at,
            in_force_from: in_force_from @ None,
        } = self
            && acknowledged_at.elapsed() > EVACUATION_TIMEOUT
        {
            *in_force_from = Some(Instant::now());
            return true;
        }
        false
    }

    /// All processes restart and have to learn the evacuation from the store.
    pub(crate) fn lose(&mut self) {
        if let Self::Evacuated { in_force_from, .. } = self {
            *in_force_from = None;
        }
    }

    /// Returns whether new flows must have returned, and none is known to have.
    fn is_return_due(&self) -> bool {
        matches!(self, Self::Returning { ended_at } if ended_at.elapsed() > EVACUATION_TIMEOUT)
    }

    /// Takes note of a flow that opened in the failure domain; returns whether it may.
    fn check_opening(&mut self, sent_at: Instant, received_at: Instant) -> bool {
        match *self {
            Self::Open => true,
            Self::Evacuated { in_force_from, .. } => in_force_from.is_none_or(|it| sent_at < it),
            Self::Returning { ended_at } => {
                if received_at.saturating_duration_since(ended_at) > EVACUATION_TIMEOUT {
                    *self = Self::Open;
                }
                true
            }
        }
    }
}

impl Run {
    /// Collects what the upstreams saw since the last call.
    pub(crate) fn collect_reports(&mut self) {
        for vm in &self.deployment.agents {
            vm.report(&self.record);
            let openings = vm.upstream.iter().flat_map(Upstream::take_openings);
            for opening in openings {
                let received_at = opening.received_at;
                let sent_at = self.deployment.router.sent_at(&opening.packet);
                let sent_at = sent_at.unwrap_or(received_at);
                let is_allowed =
                    self.domains[usize::from(vm.domain)].check_opening(sent_at, received_at);
                let name = &vm.process.name;
                // A paused agent cannot hear of an evacuation. One that restarts has to know it before it
                // takes new flows.
                let pause = pause_of(name);
                let is_running =
                    self.record
                        .was_undisturbed(&pause, EVACUATION_TIMEOUT, received_at);
                if !is_allowed && is_running {
                    self.record.record_violation(format!(
                        "{} opened at {name} of evacuated {}, {} ms after it was sent",
                        opening.packet.flow,
                        domain_name(vm.domain),
                        (received_at - sent_at).as_millis()
                    ));
                }
            }
        }
    }

    /// Returns whether the name has been undisturbed for the time bound of evacuations.
    fn is_settled(&self, name: &str) -> bool {
        self.record
            .was_undisturbed(name, EVACUATION_TIMEOUT, Instant::now())
    }

    /// Returns the indexes of the balancers that the store serves and that are undisturbed.
    fn settled_balancers(&self) -> impl Iterator<Item = usize> {
        let is_store_settled = self.is_settled("store");
        let balancers = self.deployment.balancers.iter().enumerate();
        balancers
            .filter(move |(_, it)| {
                is_store_settled
                    && self.is_settled(&it.name)
                    && self.is_settled(&store_path(&it.name))
            })
            .map(|(index, _)| index)
    }

    /// Puts evacuations in force that are older than their time bound, if the platform could reach a
    /// balancer meanwhile.
    pub(crate) fn confirm_evacuations(&mut self) {
        if self.settled_balancers().next().is_none() {
            return;
        }
        for (domain, state) in (0..FAILURE_DOMAINS).zip(&mut self.domains) {
            if state.confirm() {
                self.record.print(&format!(
                    "evacuation of {} must be in force",
                    domain_name(domain)
                ));
            }
        }
    }

    /// Changes the entry of a failure domain in the store.
    pub(crate) fn set_evacuated(&mut self, domain: u8, is_evacuated: bool) {
        // What upstreams saw until now is checked against the state until now.
        self.collect_reports();
        self.deployment.set_evacuated(domain, is_evacuated);
        let state = &mut self.domains[usize::from(domain)];
        if is_evacuated {
            state.begin();
        } else {
            state.end();
        }
    }

    pub(crate) fn set_all_evacuated(&mut self, is_evacuated: bool) {
        for domain in 0..FAILURE_DOMAINS {
            self.set_evacuated(domain, is_evacuated);
        }
    }

    /// Removes the entry of a failure domain that has one, and makes it again at once.
    pub(crate) fn renew_evacuation(&mut self, domain: u8) {
        if self.domains[usize::from(domain)].is_evacuated() {
            self.set_evacuated(domain, false);
            self.set_evacuated(domain, true);
        }
    }

    /// Returns a balancer and a service address by which flows must open in the failure domain again, if
    /// nothing there was disturbed.
    fn return_path(&self, domain: u8) -> Option<(usize, SocketAddr)> {
        let is_settled = |vm: &AgentVm| {
            let name = &vm.process.name;
            vm.is_serving_undisturbed(&self.record)
                && self.is_settled(name)
                && self.is_settled(&misleading_upstream_of(name))
        };
        let mut agents = self.deployment.agents.iter();
        let vm = agents.find(|vm| vm.domain == domain && is_settled(vm))?;
        let balancer = self
            .settled_balancers()
            .find(|index| balancer_domain(*index as u8 + 1) == domain)?;
        self.is_settled(FLOOD)
            .then(|| (balancer, vm.service_address()))
    }

    /// Checks that new flows return to failure domains whose evacuation ended.
    pub(crate) async fn check_return(&mut self) {
        for domain in 0..FAILURE_DOMAINS {
            let index = usize::from(domain);
            if !self.domains[index].is_return_due() {
                continue;
            }
            let Some((balancer, service_address)) = self.return_path(domain) else {
                continue;
            };
            let router = Arc::new(self.deployment.router_to(balancer));
            let address = self.deployment.caller_address(252);
            let Ok(mut caller) = Caller::bind(address, router).await else {
                self.record
                    .record_violation(format!("cannot bind {address}"));
                return;
            };
            for _ in 0..RETURN_FLOWS {
                if let Ok(flow) = caller.open(service_address).await {
                    caller.close(&flow);
                }
                self.collect_reports();
                if self.domains[index].is_open() {
                    break;
                }
            }
            if self.domains[index].is_open() {
                self.record
                    .print(&format!("new flows open in {} again", domain_name(domain)));
            } else if self.return_path(domain).is_some() {
                self.record.record_violation(format!(
                    "no flow of {RETURN_FLOWS} opened in {} after its evacuation",
                    domain_name(domain)
                ));
                self.domains[index] = DomainState::Open;
            }
        }
    }
}
